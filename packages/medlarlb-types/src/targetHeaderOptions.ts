import type { TargetId } from "./targetId.js";

/** What this system tells a target beside the caller's own headers. */
export interface TargetHeaderOptions {
    /** Target that is meant; another one at its address refuses. */
    targetId: TargetId;
    /** What is left of the caller's time, in ms. */
    deadlineMs: number;
    /** Rank on the engine, 0 first; undefined for targets that are no engines. */
    priority: number | undefined;
    /** Event after which a stream goes on. */
    lastEventId: string | undefined;
    /** Address of the engine that gets a copy of the run's memory. */
    copyToAddress: string | undefined;
    /** Address of the engine that has such a copy, from which the run goes on. */
    continueFromAddress: string | undefined;
}
