import type { TargetRow } from "../rows/targetRow.js";

/**
 * Predicts how long a request would wait on a target. The load of the last report is adjusted by the attempts that
 * this instance has started and ended since.
 */
export const predictWaitMs = (target: TargetRow): number => {
    const reportedCount = (target.report?.inFlight ?? 0) + (target.report?.queued ?? 0);
    const currentCount = Math.max(target.localInFlight, reportedCount + target.localInFlight - target.localInFlightAtReport);
    const requestsAhead = currentCount + 1 - target.spec.slots;
    return requestsAhead <= 0 ? 0 : requestsAhead / target.spec.slots * target.averageServiceMs;
};
