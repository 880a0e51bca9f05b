import { demandPeriods } from "../placement/demandPeriods.js";
import type { DecisionContext } from "../decisionContext.js";

const FORGET_RATE = 0.001; // requests a second

/** Lets the demand averages decay over the time that has passed. */
export const decayDemand = (context: DecisionContext): void => {
    for (const row of [...context.demand.values()]) {
        const elapsedMs = context.nowMs - row.updatedAtMs;
        row.fastRate *= Math.exp(-elapsedMs / demandPeriods.fastMs);
        row.unmetRate *= Math.exp(-elapsedMs / demandPeriods.fastMs);
        row.slowRate *= Math.exp(-elapsedMs / demandPeriods.slowMs);
        row.updatedAtMs = context.nowMs;
        if (row.fastRate + row.slowRate < FORGET_RATE) {
            context.demand.delete(row.itemId);
        }
    }
};
