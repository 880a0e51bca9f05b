import type { TargetRow } from "../rows/targetRow.js";

/**
 * Predicts how long a request would wait on a target. The last report is discounted by what this instance has sent
 * and finished since.
 */
export const predictWaitMs = (target: TargetRow): number => {
    const reported = (target.report?.inFlight ?? 0) + (target.report?.queued ?? 0);
    const load = Math.max(target.localInFlight, reported + target.localInFlight - target.localInFlightAtReport);
    const ahead = load + 1 - target.spec.slots;
    return ahead <= 0 ? 0 : ahead / target.spec.slots * target.averageServiceMs;
};
