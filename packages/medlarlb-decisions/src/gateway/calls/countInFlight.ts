import type { PoolTarget } from "../rows/poolTarget.js";

/** Age in ms from which another instance's report of its load no longer counts. A target's own report is valid for a fifth of it. */
const MAX_LOAD_AGE_MS = 1_500;

/**
 * Returns the number of requests that run or wait at a target. The target's own report replaces the sum of what this and
 * the other instances have sent, as long as the report is fresh and higher.
 */
export const countInFlight = (target: PoolTarget, nowMs: number): number => {
    let countedRequests = target.activeAttempts.size;
    for (const load of target.peerLoads.values()) {
        countedRequests += nowMs - load.atMs < MAX_LOAD_AGE_MS ? load.running : 0;
    }
    const { reportedLoad } = target;
    const reportedRequests = reportedLoad !== undefined && nowMs - reportedLoad.atMs < MAX_LOAD_AGE_MS / 5
        ? reportedLoad.running + reportedLoad.waiting
        : 0;
    return Math.max(countedRequests, reportedRequests);
};
