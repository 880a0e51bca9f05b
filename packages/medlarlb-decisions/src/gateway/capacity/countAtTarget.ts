import { countInFlight } from "../calls/countInFlight.js";
import type { PoolTarget } from "../rows/poolTarget.js";

/** Age in ms up to which a target's own report counts in place of the statuses of other instances, which are as old as that. */
const MAX_REPORT_AGE_MS = 150;

/**
 * Returns the number of requests at a target that reports its duration of work. Its latest report tells the requests of other
 * instances; the statuses of these are older than most requests of a plain service.
 */
export const countAtTarget = (target: PoolTarget, nowMs: number): number =>
    (target.workTime !== undefined && nowMs - target.workTime.atMs < MAX_REPORT_AGE_MS
        ? target.activeAttempts.size + target.workTime.othersInFlight
        : countInFlight(target, nowMs));
