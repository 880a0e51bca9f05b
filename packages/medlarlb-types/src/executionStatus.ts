/** Whether the request ran, as a refusal states it. `no` is only stated if no target can have run the request. */
export type ExecutionStatus = "no" | "yes" | "unknown";
