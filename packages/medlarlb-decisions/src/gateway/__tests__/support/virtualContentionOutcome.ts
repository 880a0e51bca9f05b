/** What became of a caller's request. */
export interface VirtualContentionOutcome {
    route: string;
    workspace: string | undefined;
    instance: number;
    arrivedAtMs: number;
    latencyTargetMs: number;
    /** 0 while it is open, or if its instance was killed. */
    status: number;
    tookMs: number;
    retryAfterMs: number | undefined;
    /** Number of times that it was sent to a target. */
    attempts: number;
}
