import type { ItemId } from "medlarlb-types/itemId";
import type { DecisionContext } from "../decisionContext.js";

/** Returns the value of a replica to callers of the zone, in requests a second. */
export const demandValue = (context: DecisionContext, itemId: ItemId): number => {
    const row = context.demand.get(itemId);
    return row === undefined ? 0 : Math.max(row.fastRate, row.slowRate) + row.unmetRate;
};
