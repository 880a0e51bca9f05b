/** Options of an engine stand-in. */
export interface EngineOptions {
    targetId: string;
    memoryBytes: number;
    fencing: "enforced" | "ignored";
    /** Number of requests that run at the same time. */
    slots: number;
    /** Time between two tokens. */
    tokenMs: number;
    /** URL of the platform stand-in, from whose weight store each load fetches. */
    platform: string;
}
