import { countInFlight } from "../calls/countInFlight.js";
import { isUsable } from "../calls/isUsable.js";
import { servicePaceMs } from "../calls/servicePaceMs.js";
import type { GatewayContext } from "../gatewayContext.js";
import type { ModelPool } from "../rows/modelPool.js";
import { isLargeGroup } from "../status/isLargeGroup.js";
import { unreportedRequests } from "./unreportedRequests.js";
import { shortestUrgentTargetMs } from "./shortestUrgentTargetMs.js";

/**
 * Requests at a target, as a multiple of its places, that the shares of all instances add up to. More than one keeps the places used
 * although requests arrive at random; as many as the room of a target (three) would leave none for more urgent ones.
 */
const SHARED_RATIO = 1.95;
/** The same in a large group, which can't see which target has room, so that more places are empty while requests wait at others. */
const LARGE_GROUP_SHARED_RATIO = 2;
/** The same for the most urgent requests, which have to fit although their rate varies. */
const ALONE_RATIO = 2.2;
/** Smallest such ratio: with fewer requests, places would be empty for lack of requests that wait. */
const MIN_SHARED_RATIO = 1.35;
/** Mean wait of an urgent request at a target, as a share of the time that its latency target leaves beside its run. */
const WAIT_RATIO = 0.27;

interface Places {
    shared: number;
    alone: number;
    inFlight: number;
    paceMs: number;
}

/**
 * Returns how many requests of all instances the targets of a plain service are to hold, as far as this instance can tell (`shared`
 * for ranks behind others, `alone` for the most urgent one), how many they hold (`inFlight`), and the mean time in ms that a request
 * takes there, its wait included. `shared` is lower if requests more urgent than `priority` have little time to wait, because
 * targets serve in the order of arrival.
 */
export const placesFor = (context: GatewayContext, pool: ModelPool, priority: number): Places => {
    let slots = 0;
    let inFlight = 0;
    let perMs = 0;
    for (const target of pool.targets) {
        if (isUsable(target, context.nowMs)) {
            slots += target.entry.slots;
            inFlight += countInFlight(target, context.nowMs);
            perMs += target.entry.slots / Math.max(1, servicePaceMs(context, target));
        }
    }
    const paceMs = slots / perMs;
    const runMs = paceMs / Math.max(1, inFlight / slots);
    const urgentRatio = 1 + (shortestUrgentTargetMs(context, pool.service, priority) / runMs - 1) * WAIT_RATIO;
    const maxRatio = isLargeGroup(context) ? LARGE_GROUP_SHARED_RATIO : SHARED_RATIO;
    const sharedRatio = Math.min(maxRatio, Math.max(MIN_SHARED_RATIO, urgentRatio));
    const shared = Math.max(0, slots * sharedRatio - unreportedRequests(context, pool));
    return { shared, alone: slots * ALONE_RATIO, inFlight, paceMs };
};
