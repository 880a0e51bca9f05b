/** Options of one engine stand-in. */
export interface EngineOptions {
    targetId: string;
    memoryBytes: number;
    fencing: "enforced" | "ignored";
    slots: number;
    /** Time between two tokens. */
    tokenMs: number;
    /** Address of the platform stand-in, whose weight store is asked at each load. */
    platform: string;
}
