import type { ItemId } from "medlarlb-types/itemId";
import type { LedgerRow } from "../rows/ledgerRow.js";
import type { DecisionContext } from "../decisionContext.js";

/** Removes an entry and so frees its bytes. Call it only when no order can load the item any more. */
export const removeEntry = (context: DecisionContext, ledger: LedgerRow, itemId: ItemId): void => {
    ledger.entries.delete(itemId);
    ledger.changedAtMs.set(itemId, context.nowMs);
    ledger.version += 1;
};
