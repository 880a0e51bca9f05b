import type { DecisionId } from "medlarlb-types/decisionId";
import type { LedgerEntry } from "medlarlb-types/ledgerEntry";
import { setResidentItems } from "../inputs/setResidentItems.js";
import { recordDecision } from "../recordDecision.js";
import type { LedgerRow } from "../rows/ledgerRow.js";
import type { DecisionContext } from "../decisionContext.js";
import { addOrder } from "./addOrder.js";
import { setEntry } from "./setEntry.js";

/** Orders the unload of a replica. Its bytes stay promised until the target confirms the unload. */
export const orderUnload = (
    context: DecisionContext,
    ledger: LedgerRow,
    entry: LedgerEntry,
    reason: string,
    cause?: DecisionId,
): void => {
    const decision = recordDecision(context, "unload", entry.itemId, reason, {
        target: ledger.targetId,
        inputs: { bytes: entry.bytes },
        ...(cause === undefined ? {} : { cause }),
    });
    const orderId = addOrder(context, ledger, { action: "unload", itemId: entry.itemId, bytes: entry.bytes }, decision);
    setEntry(context, ledger, { itemId: entry.itemId, bytes: entry.bytes, state: "unloading", orderId });
    const target = context.targets.get(ledger.targetId);
    if (target !== undefined) {
        setResidentItems(context, target, new Set([...target.resident].filter(itemId => itemId !== entry.itemId)));
    }
};
