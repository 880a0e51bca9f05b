import type { PoolTarget } from "../rows/poolTarget.js";

/** Returns whether a target may get new work. */
export const isUsable = (target: PoolTarget, nowMs: number): boolean =>
    !target.leaving && nowMs >= target.backoffUntilMs && nowMs >= target.pausedUntilMs;
