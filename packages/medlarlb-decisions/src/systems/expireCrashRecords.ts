import type { DecisionContext } from "../decisionContext.js";

const CRASH_RECORD_TTL_MS = 600_000;

/**
 * Deletes crash records ten minutes after their last change, so that a request to which a crash was wrongly attributed isn't
 * refused for good.
 */
export const expireCrashRecords = (context: DecisionContext): void => {
    for (const crashRecord of [...context.crashRecords.values()]) {
        if (context.nowMs - crashRecord.seenAtMs > CRASH_RECORD_TTL_MS) {
            context.crashRecords.delete(crashRecord.fingerprint);
        }
    }
};
