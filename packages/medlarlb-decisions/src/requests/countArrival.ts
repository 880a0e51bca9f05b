import type { RequestRow } from "../rows/requestRow.js";
import type { DecisionContext } from "../decisionContext.js";

/** Counts a request as demand for the preferred item of its name, or, with `unmet`, once as unmet demand. */
export const countArrival = (context: DecisionContext, row: RequestRow, unmet: boolean): void => {
    const itemId = context.itemsByName.get(row.request.name)?.[0];
    if (itemId === undefined) {
        return;
    }
    if (!unmet) {
        context.arrivals.set(itemId, (context.arrivals.get(itemId) ?? 0) + 1);
    }
    else if (!row.countedUnmet) {
        row.countedUnmet = true;
        context.unmet.set(itemId, (context.unmet.get(itemId) ?? 0) + 1);
    }
};
