import { mayUnload } from "../placement/mayUnload.js";
import { requestUnload } from "../placement/requestUnload.js";
import type { DecisionContext } from "../decisionContext.js";

/** Unloads versions that are configured no more, once the versions that replace them serve. */
export const planRetired = (world: DecisionContext): void => {
    for (const ledger of world.ledgers.values()) {
        if (ledger.stage !== "owned") {
            continue;
        }
        for (const entry of [...ledger.entries.values()]) {
            if (!world.items.has(entry.itemId) && mayUnload(world, ledger, entry)) {
                requestUnload(world, ledger, entry, "the item is configured no more");
            }
        }
    }
};
