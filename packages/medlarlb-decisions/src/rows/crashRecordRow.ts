import type { Fingerprint } from "medlarlb-types/fingerprint";

/** A request body under which a target died. */
export interface CrashRecordRow {
    fingerprint: Fingerprint;
    crashes: number;
    seenAtMs: number;
}
