import { countInFlight } from "../calls/countInFlight.js";
import type { GatewayContext } from "../gatewayContext.js";

/**
 * Share of a service's places in use up to which second attempts are sent. Beyond it the waits of other requests grow faster than
 * the tail shrinks: at half of the places an extra request rarely finds its target full.
 */
const MAX_OCCUPANCY_RATIO = 0.5;

/** Returns whether a service has room for extra work: no request waits for it here, and at most half of its places are in use. */
export const isLoadLow = (context: GatewayContext, service: string): boolean => {
    for (const pool of context.pools.values()) {
        if (pool.service === service && pool.waiting.length > 0) {
            return false;
        }
    }
    let running = 0;
    let slots = 0;
    for (const target of context.targetsByService.get(service) ?? []) {
        running += countInFlight(target, context.nowMs);
        slots += target.leaving ? 0 : target.entry.slots;
    }
    return running <= slots * MAX_OCCUPANCY_RATIO;
};
