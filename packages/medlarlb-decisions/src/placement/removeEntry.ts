import type { ItemId } from "medlarlb-types/itemId";
import type { LedgerRow } from "../rows/ledgerRow.js";
import type { DecisionContext } from "../decisionContext.js";

/** Frees the bytes of an entry. Call it only when no order can bring the item back. */
export const removeEntry = (context: DecisionContext, ledger: LedgerRow, itemId: ItemId): void => {
    ledger.entries.delete(itemId);
    ledger.changedAtMs.set(itemId, context.nowMs);
    ledger.version += 1;
};
