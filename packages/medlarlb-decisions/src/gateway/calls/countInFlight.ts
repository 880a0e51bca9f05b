import type { PoolTarget } from "../rows/poolTarget.js";

/** Age in ms from which what was told of a target's load no longer counts. */
const TOLD_MS = 1_500;

/**
 * Counts the requests that a target has, running or waiting. What it told itself counts as long as it is fresh and
 * higher than what the instances know of each other.
 */
export const countInFlight = (target: PoolTarget, nowMs: number): number => {
    let known = target.activeAttempts.size;
    for (const load of target.peerLoads.values()) {
        known += nowMs - load.atMs < TOLD_MS ? load.running : 0;
    }
    const { reportedLoad: reported } = target;
    const told = reported !== undefined && nowMs - reported.atMs < TOLD_MS / 5 ? reported.running + reported.waiting : 0;
    return Math.max(known, told);
};
