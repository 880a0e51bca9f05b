import { logEvent } from "../calls/logEvent.js";
import type { GatewayContext } from "../gatewayContext.js";

/** Loads from the weight store that a new planner counts as begun, because it may not know the latest ones of its predecessor. */
const ASSUMED_STORE_LOAD_COUNT = 2;

/**
 * Applies a change of the planner lease: a fencing number while this instance holds it, `undefined` otherwise. In both cases
 * this instance drops what it recorded as an earlier planner, and the collected arrivals, which another planner has reported
 * in the meantime.
 */
export const applyLeaseChange = (context: GatewayContext, fence: number | undefined): void => {
    context.fence = fence;
    context.managedEngines.clear();
    context.zoneArrivals.clear();
    if (fence !== undefined) {
        context.storeLoadTimesMs.push(...Array.from({ length: ASSUMED_STORE_LOAD_COUNT }, () => context.nowMs));
    }
    logEvent(context, "duty", { held: fence !== undefined, fence, zone: context.settings.zone });
};
