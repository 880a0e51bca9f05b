import type { Fingerprint } from "medlarlb-types/fingerprint";

/** Number of targets that crashed while they ran a request with this fingerprint. */
export interface CrashRecordRow {
    fingerprint: Fingerprint;
    crashes: number;
    seenAtMs: number;
}
