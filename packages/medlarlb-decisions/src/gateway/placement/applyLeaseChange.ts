import { logEvent } from "../calls/logEvent.js";
import type { GatewayContext } from "../gatewayContext.js";

/** Loads from the weight store that a new planner counts as begun, because it may not know the latest ones of its predecessor. */
const ASSUMED_STORE_LOAD_COUNT = 2;

/**
 * Takes in whether this instance may give orders. What it knew as planner before is dropped either way, also what arrived
 * while another planner reported it.
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
