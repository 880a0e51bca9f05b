import type { PoolTarget } from "../rows/poolTarget.js";

/** Age in ms from which what was told of a target's load no longer counts. */
const MAX_LOAD_AGE_MS = 1_500;

/**
 * Counts the requests that a target has, running or waiting. What it told itself counts as long as it is fresh and
 * higher than what the instances know of each other.
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
