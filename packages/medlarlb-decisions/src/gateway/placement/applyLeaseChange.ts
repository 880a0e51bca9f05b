import { logEvent } from "../calls/logEvent.js";
import type { GatewayContext } from "../gatewayContext.js";

/** Loads from the weight store that a new planner counts as begun without having heard of them. */
const ASSUMED_STORE_LOADS = 2;

/**
 * Takes in whether this instance may give orders. What it knew as planner before is dropped either way, also what arrived
 * while another planner told of it.
 */
export const applyLeaseChange = (world: GatewayContext, fence: number | undefined): void => {
    world.fence = fence;
    world.managedEngines.clear();
    world.zoneArrivals.clear();
    if (fence !== undefined) {
        world.storeLoads.push(...Array.from({ length: ASSUMED_STORE_LOADS }, () => world.nowMs));
    }
    logEvent(world, "duty", { held: fence !== undefined, fence, zone: world.settings.zone });
};
