import type { TargetId } from "./targetId.js";

/** A target has said in an answer that it leaves. Its next start, with another time, counts as a new target. */
export interface LeavingObservation {
    kind: "leaving";
    targetId: TargetId;
    startedAtMs: number;
}
