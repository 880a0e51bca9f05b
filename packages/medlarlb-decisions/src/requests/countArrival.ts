import type { RequestRow } from "../rows/requestRow.js";
import type { DecisionContext } from "../decisionContext.js";

/** Counts a request as demand of the item that its name stands for, and as unmet demand if it has to wait. */
export const countArrival = (world: DecisionContext, row: RequestRow, unmet: boolean): void => {
    const itemId = world.itemsByName.get(row.request.name)?.[0];
    if (itemId === undefined) {
        return;
    }
    if (!unmet) {
        world.arrivals.set(itemId, (world.arrivals.get(itemId) ?? 0) + 1);
    }
    else if (!row.countedUnmet) {
        row.countedUnmet = true;
        world.unmet.set(itemId, (world.unmet.get(itemId) ?? 0) + 1);
    }
};
