import type { ItemId } from "medlarlb-types/itemId";
import type { TargetRow } from "../rows/targetRow.js";
import type { DecisionContext } from "../decisionContext.js";

/** Sets which items of a target are ready for requests, and keeps the index of replicas in step. */
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
