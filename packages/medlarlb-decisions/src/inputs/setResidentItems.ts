import type { ItemId } from "medlarlb-types/itemId";
import type { TargetRow } from "../rows/targetRow.js";
import type { DecisionContext } from "../decisionContext.js";

/** Sets the items for which a target may get requests, and updates the index of replicas. */
export const setResidentItems = (context: DecisionContext, row: TargetRow, resident: Set<ItemId>): void => {
    for (const itemId of row.resident) {
        if (!resident.has(itemId)) {
            context.replicas.get(itemId)?.delete(row.targetId);
        }
    }
    for (const itemId of resident) {
        const targets = context.replicas.get(itemId) ?? new Set();
        targets.add(row.targetId);
        context.replicas.set(itemId, targets);
    }
    row.resident = resident;
};
