import { demandPeriods } from "../placement/demandPeriods.js";
import type { DecisionContext } from "../decisionContext.js";

const FORGET_RATE = 0.001; // requests a second

/** Lets the demand averages decay over the time that has passed. */
export const decayDemand = (world: DecisionContext): void => {
    for (const row of [...world.demand.values()]) {
        const elapsedMs = world.nowMs - row.updatedAtMs;
        row.fastRate *= Math.exp(-elapsedMs / demandPeriods.fastMs);
        row.unmetRate *= Math.exp(-elapsedMs / demandPeriods.fastMs);
        row.slowRate *= Math.exp(-elapsedMs / demandPeriods.slowMs);
        row.updatedAtMs = world.nowMs;
        if (row.fastRate + row.slowRate < FORGET_RATE) {
            world.demand.delete(row.itemId);
        }
    }
};
