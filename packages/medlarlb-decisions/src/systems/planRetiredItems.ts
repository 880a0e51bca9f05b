import { mayUnload } from "../placement/mayUnload.js";
import { orderUnload } from "../placement/orderUnload.js";
import type { DecisionContext } from "../decisionContext.js";

/** Unloads versions that are no longer configured, once the versions that replace them are healthy. */
export const planRetiredItems = (context: DecisionContext): void => {
    for (const ledger of context.ledgers.values()) {
        if (ledger.stage !== "owned") {
            continue;
        }
        for (const entry of [...ledger.entries.values()]) {
            if (!context.items.has(entry.itemId) && mayUnload(context, ledger, entry)) {
                orderUnload(context, ledger, entry, "the item is no longer configured");
            }
        }
    }
};
