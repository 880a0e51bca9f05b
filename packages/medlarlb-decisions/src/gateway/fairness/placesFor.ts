import { isUsable } from "../calls/isUsable.js";
import { servicePaceMs } from "../calls/servicePaceMs.js";
import type { GatewayContext } from "../gatewayContext.js";
import type { ModelPool } from "../rows/modelPool.js";
import { isLargeGroup } from "../status/isLargeGroup.js";

/**
 * Requests at a target, as a multiple of its places, that the shares of all instances add up to. More than one keeps the places used
 * although requests arrive at random; as many as the room of a target (two) would leave none for more urgent ones.
 */
const SHARED_RATIO = 1.8;
/** The same in a large group, which can't see which target has room, so that more places are empty while requests wait at others. */
const LARGE_GROUP_SHARED_RATIO = 2;
const ALONE_RATIO = 2.2;

/**
 * Returns how many requests of all instances the targets of a plain service are to hold, `shared` for ranks behind others and
 * `alone` for the most urgent one, and the mean time in ms that a request takes there, its wait included.
 */
export const placesFor = (context: GatewayContext, pool: ModelPool): { shared: number; alone: number; paceMs: number } => {
    let slots = 0;
    let perMs = 0;
    for (const target of pool.targets) {
        if (isUsable(target, context.nowMs)) {
            slots += target.entry.slots;
            perMs += target.entry.slots / Math.max(1, servicePaceMs(context, target));
        }
    }
    return { shared: slots * (isLargeGroup(context) ? LARGE_GROUP_SHARED_RATIO : SHARED_RATIO), alone: slots * ALONE_RATIO, paceMs: slots / perMs };
};
