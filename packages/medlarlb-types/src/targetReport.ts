import type { BootId } from "./bootId.js";
import type { ResidentItem } from "./residentItem.js";
import type { TargetId } from "./targetId.js";

/** Load and memory of one target. */
export interface TargetReport {
    targetId: TargetId;
    bootId: BootId;
    /** Position among the target's reports, set by the instance that polls it. */
    sequence: number;
    memoryBytes: number;
    items: ResidentItem[];
    inFlight: number;
    queued: number;
    leaving: boolean;
    /** Highest fencing number that the target has accepted. */
    fence: number;
}
