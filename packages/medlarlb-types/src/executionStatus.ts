/** What a refusal says about the run of the request. `no` is only stated if no target can have run it. */
export type ExecutionStatus = "no" | "yes" | "unknown";
