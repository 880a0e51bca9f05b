import type { PoolTarget } from "../rows/poolTarget.js";

/** Age in ms from which an instance's load report no longer counts; a target's own one counts for a fifth of it. */
const MAX_AGE_MS = 1_500;

/**
 * Counts the requests that a target has, running or waiting. What it reports itself counts as long as it is fresh and
 * higher than what the instances know of each other.
 */
export const countInFlight = (target: PoolTarget, nowMs: number): number => {
    let knownCount = target.activeAttempts.size;
    for (const load of target.peerLoads.values()) {
        knownCount += nowMs - load.atMs < MAX_AGE_MS ? load.running : 0;
    }
    const { reported } = target;
    const reportedCount = reported !== undefined && nowMs - reported.atMs < MAX_AGE_MS / 5
        ? reported.running + reported.waiting
        : 0;
    return Math.max(knownCount, reportedCount);
};
