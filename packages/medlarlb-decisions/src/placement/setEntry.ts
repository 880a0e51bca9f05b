import type { LedgerEntry } from "medlarlb-types/ledgerEntry";
import type { LedgerRow } from "../rows/ledgerRow.js";
import type { DecisionContext } from "../decisionContext.js";

/** Sets an entry of an owned ledger, with the time of the change, and raises the ledger's version. */
export const setEntry = (context: DecisionContext, ledger: LedgerRow, entry: LedgerEntry): void => {
    ledger.entries.set(entry.itemId, entry);
    ledger.changedAtMs.set(entry.itemId, context.nowMs);
    ledger.version += 1;
};
