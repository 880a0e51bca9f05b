import type { PoolTarget } from "../rows/poolTarget.js";
import { waitLimits } from "./waitLimits.js";

/** Factor by which the limit shrinks at a pause that is too long, and what it gains with each stream without one, in ms. */
const SHRINK = 0.7;
const GAIN_MS = 2;

/**
 * Adjusts how many prompts may wait on an engine to the pauses of its streams. An engine that reads one prompt after the
 * other gives the streams that it runs a token only between the pieces; a slow one makes them pause for too long then,
 * and needs breaks between the prompts.
 */
export const adjustWaitLimit = (target: PoolTarget, pausedTooLong: boolean): void => {
    target.waitLimitMs = pausedTooLong
        ? Math.max(waitLimits.leastMs, target.waitLimitMs * SHRINK)
        : Math.min(waitLimits.mostMs, target.waitLimitMs + GAIN_MS);
};
