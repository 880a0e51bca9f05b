/** A request that a test has sent to a gateway process. */
export interface SentRequest {
    id: string;
    gateway: number;
    /** Number of the gateway's process: one that has started again knows nothing of before. */
    boot: number;
    path: string;
    sentAtMs: number;
    doneAtMs: number;
    status: number;
}

/** What happened in a round with a return of the store, with times in ms. */
export interface ReturnRecord {
    sent: SentRequest[];
    /** Spans in which a gateway, or with `undefined` all of them, was disturbed. Only a stop excuses what it has learnt from answers. */
    disturbances: { gateway: number | undefined; isStop: boolean; fromMs: number; toMs: number }[];
    versions: { version: number; acknowledgedAtMs: number }[];
    brokenVersions: number[];
    /** Targets that leave, with the time from which the store or, with the way "answers", their own answers say so. */
    leavings: { targetId: string; atMs: number; way: "draining" | "removed" | "answers" }[];
    /** Requests that each target has run. */
    runs: { targetId: string; requestId: string }[];
}
