import { countInFlight } from "../calls/countInFlight.js";
import type { PoolTarget } from "../rows/poolTarget.js";
import { countAtTarget } from "./countAtTarget.js";

/** Requests of a plain service that a target may have, as a multiple of its places. */
const MAX_OCCUPANCY = 2;
/**
 * The same for a target that reports its duration of work: a request that waits there can't move when the machine becomes slow. Fewer
 * would leave places empty, because the counts of requests are a little stale.
 */
const MAX_REPORTED_OCCUPANCY = 1.5;

/** Returns whether a target of a plain service may get another request. */
export const hasFreePlace = (target: PoolTarget, nowMs: number): boolean =>
    (target.workTime === undefined
        ? countInFlight(target, nowMs) < target.entry.slots * MAX_OCCUPANCY
        : countAtTarget(target, nowMs) < target.entry.slots * MAX_REPORTED_OCCUPANCY);
