import type { LedgerRow } from "../rows/ledgerRow.js";
import type { DecisionContext } from "../decisionContext.js";
import { writeLedger } from "./writeLedger.js";

/** Starts to acquire the ledger of a target. The bytes of the previous owner's entries stay promised meanwhile. */
export const acquireLedger = (context: DecisionContext, ledger: LedgerRow): void => {
    ledger.stage = "taking";
    ledger.fence = context.plannerFence ?? 0;
    ledger.entries = new Map((ledger.document?.entries ?? []).map(entry => [entry.itemId, entry]));
    ledger.version += 1;
    writeLedger(context, ledger);
};
