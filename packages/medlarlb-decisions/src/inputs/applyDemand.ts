import type { DemandCount } from "medlarlb-types/demandCount";
import type { World } from "../world.js";

const FAST_PERIOD_S = 8;
const SLOW_PERIOD_S = 300;

/** Adds counted requests to the demand averages of the zone. */
export const applyDemand = (world: World, counts: DemandCount[]): void => {
    for (const { itemId, arrivals, unmet } of counts) {
        const row = world.demand.get(itemId)
            ?? { itemId, fastRate: 0, slowRate: 0, unmetRate: 0, updatedAtMs: world.nowMs, lastRequestMs: 0 };
        row.fastRate += arrivals / FAST_PERIOD_S;
        row.slowRate += arrivals / SLOW_PERIOD_S;
        row.unmetRate += unmet / FAST_PERIOD_S;
        row.lastRequestMs = world.nowMs;
        world.demand.set(itemId, row);
    }
};
