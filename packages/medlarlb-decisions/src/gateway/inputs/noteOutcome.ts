import type { PoolTarget } from "../rows/poolTarget.js";

/** Weight of the newest attempt in the share of failures. */
const NEWEST_SHARE = 0.1;

/** Notes whether an attempt on a target failed, for the choice of targets. */
export const noteOutcome = (target: PoolTarget, failed: boolean, nowMs: number): void => {
    target.failureShare += NEWEST_SHARE * ((failed ? 1 : 0) - target.failureShare);
    target.failureAtMs = nowMs;
};
