import type { TargetId } from "./targetId.js";

/** A target has named another limit than before in an answer, or none any more. */
export interface LimitObservation {
    kind: "limit";
    targetId: TargetId;
    startedAtMs: number;
    /** Requests per second that it takes from all instances together. */
    perSecond: number | undefined;
}
