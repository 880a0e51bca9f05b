import type { TargetId } from "./targetId.js";

/** A planner's answer to an instance that asked for a permit to send one request to a limited target. */
export interface PermitAnswer {
    targetId: TargetId;
    startedAtMs: number;
    granted: boolean;
    /** Number of instances that ask for permits of this target now, which share its limit. */
    competing: number;
}
