/** Whether a refused request was run, as the refusal states it. `no` is stated only if no target can have run it. */
export type ExecutionStatus = "no" | "yes" | "unknown";
