import { mayUnload } from "../placement/mayUnload.js";
import { requestUnload } from "../placement/requestUnload.js";
import type { DecisionContext } from "../decisionContext.js";

/** Unloads versions that are configured no more, once the versions that replace them serve. */
export const planRetired = (context: DecisionContext): void => {
    for (const ledger of context.ledgers.values()) {
        if (ledger.stage !== "owned") {
            continue;
        }
        for (const entry of [...ledger.entries.values()]) {
            if (!context.items.has(entry.itemId) && mayUnload(context, ledger, entry)) {
                requestUnload(context, ledger, entry, "the item is configured no more");
            }
        }
    }
};
