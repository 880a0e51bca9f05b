/** What a refusal says about the run of the request. `no` is only said when no target can have run it. */
export type ExecutionStatus = "no" | "yes" | "unknown";
