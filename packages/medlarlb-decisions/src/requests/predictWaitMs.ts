import type { TargetRow } from "../rows/targetRow.js";

/**
 * Predicts how long a request would wait on a target. The last report is discounted by what this instance has sent
 * and finished since.
 */
export const predictWaitMs = (target: TargetRow): number => {
    const reported = (target.report?.inFlight ?? 0) + (target.report?.queued ?? 0);
    const load = Math.max(target.ownInFlight, reported + target.ownInFlight - target.ownInFlightAtReport);
    const ahead = load + 1 - target.spec.slots;
    return ahead <= 0 ? 0 : ahead / target.spec.slots * target.serviceMs;
};
