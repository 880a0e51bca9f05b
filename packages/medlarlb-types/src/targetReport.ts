import type { BootId } from "./bootId.js";
import type { ResidentItem } from "./residentItem.js";
import type { TargetId } from "./targetId.js";

/** Load and memory of one target. */
export interface TargetReport {
    targetId: TargetId;
    bootId: BootId;
    /** Order among the reports of the target. The instance that polls it sets this. */
    sequence: number;
    memoryBytes: number;
    items: ResidentItem[];
    inFlight: number;
    queued: number;
    leaving: boolean;
    /** Highest fencing number that the target has accepted. */
    fence: number;
}
