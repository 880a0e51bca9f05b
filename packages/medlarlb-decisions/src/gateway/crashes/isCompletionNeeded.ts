import type { Fingerprint } from "medlarlb-types/fingerprint";
import type { CrashTable } from "./crashTable.js";

/**
 * Returns whether a completed request or part changes what the ends of targets show: nothing was known of it, or an end
 * before it isn't cleared yet. All instances complete requests with popular parts, so others are told only then.
 */
export const isCompletionNeeded = ({ ends, completed }: CrashTable, key: Fingerprint, completedAtMs: number): boolean => {
    const knownAtMs = completed.get(key);
    return [...ends.values()].some(end => end.fingerprints.has(key)
        && (knownAtMs === undefined || (knownAtMs < end.atMs && end.atMs < completedAtMs)));
};
