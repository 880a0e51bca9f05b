import type { LedgerRow } from "../rows/ledgerRow.js";
import type { DecisionContext } from "../decisionContext.js";
import { dropOrders } from "./dropOrders.js";

/** Drops a ledger and its orders. The next read of the KV service fills a new row. */
export const dropLedger = (context: DecisionContext, ledger: LedgerRow): void => {
    context.ledgers.delete(ledger.targetId);
    dropOrders(context, ledger.targetId);
};
