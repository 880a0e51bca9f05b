import type { CallMetadata } from "medlarlb-types/callMetadata";
import type { TargetId } from "medlarlb-types/targetId";
import type { CallAttempt } from "./callAttempt.js";

/** A caller's request while it waits or runs. */
export interface CallRow {
    metadata: CallMetadata;
    currentAttempt: CallAttempt | undefined;
    /** Its place among requests that wait elsewhere, 0 to 1, drawn at random. */
    peersAheadRatio: number;
    /** Attempts that were sent to a target, run or not. */
    attempts: number;
    /** Targets that have or may have run it. */
    possibleRuns: number;
    /** Whether a target may have run it. Then no answer may promise the contrary. */
    mayHaveRun: boolean;
    /** Targets that are not tried again. */
    excludedTargets: Set<TargetId>;
    /** Whether the caller already has a part of the answer. */
    delivered: boolean;
    /** When a model or adapter was last asked for on its behalf. */
    modelRequestedAtMs: number;
    /** Engine that was asked to bring the adapter. */
    adapterTargetId: TargetId | undefined;
    /** Earliest time of the next attempt. */
    notBeforeMs: number;
}
