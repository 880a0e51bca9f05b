import { demandTimeConstants } from "../placement/demandTimeConstants.js";
import type { DecisionContext } from "../decisionContext.js";

const MIN_RATE = 0.001; // requests a second

/** Decays the moving averages of demand by the time since they were last updated, and deletes those near zero. */
export const decayDemand = (context: DecisionContext): void => {
    for (const row of [...context.demand.values()]) {
        const elapsedMs = context.nowMs - row.updatedAtMs;
        row.fastRate *= Math.exp(-elapsedMs / demandTimeConstants.fastMs);
        row.unmetRate *= Math.exp(-elapsedMs / demandTimeConstants.fastMs);
        row.slowRate *= Math.exp(-elapsedMs / demandTimeConstants.slowMs);
        row.updatedAtMs = context.nowMs;
        if (row.fastRate + row.slowRate < MIN_RATE) {
            context.demand.delete(row.itemId);
        }
    }
};
