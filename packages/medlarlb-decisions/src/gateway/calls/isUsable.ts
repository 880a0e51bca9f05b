import type { PoolTarget } from "../rows/poolTarget.js";

/** Tells whether a target may be given new work. */
export const isUsable = (target: PoolTarget, nowMs: number): boolean => !target.leaving && nowMs >= target.backoffUntilMs;
