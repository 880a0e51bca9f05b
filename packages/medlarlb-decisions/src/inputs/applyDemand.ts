import type { DemandCount } from "medlarlb-types/demandCount";
import { demandTimeConstants } from "../placement/demandTimeConstants.js";
import type { DecisionContext } from "../decisionContext.js";

const MS_PER_SECOND = 1_000;
const fastSeconds = demandTimeConstants.fastMs / MS_PER_SECOND;
const slowSeconds = demandTimeConstants.slowMs / MS_PER_SECOND;

/** Adds counted requests to the moving averages of the zone's demand. */
export const applyDemand = (context: DecisionContext, counts: DemandCount[]): void => {
    for (const { itemId, arrivals, unmet } of counts) {
        const row = context.demand.get(itemId)
            ?? { itemId, fastRate: 0, slowRate: 0, unmetRate: 0, updatedAtMs: context.nowMs };
        row.fastRate += arrivals / fastSeconds;
        row.slowRate += arrivals / slowSeconds;
        row.unmetRate += unmet / fastSeconds;
        context.demand.set(itemId, row);
    }
};
