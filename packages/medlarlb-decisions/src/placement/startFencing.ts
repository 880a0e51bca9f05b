import type { LedgerRow } from "../rows/ledgerRow.js";
import type { DecisionContext } from "../decisionContext.js";
import { addOrder } from "./addOrder.js";

/**
 * Orders a target to refuse all earlier orders before its ledger is filled from a report. A target that ignores fencing
 * skips this stage: its ledger is acquired only when its previous owner is dead.
 */
export const startFencing = (context: DecisionContext, ledger: LedgerRow): void => {
    if (context.targets.get(ledger.targetId)?.spec.fencing !== "enforced") {
        ledger.stage = "judging";
        ledger.ignoreReportsBeforeMs = context.nowMs;
        return;
    }
    ledger.stage = "fencing";
    addOrder(context, ledger, { action: "fence" });
};
