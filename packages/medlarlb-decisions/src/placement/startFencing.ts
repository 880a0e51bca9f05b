import type { LedgerRow } from "../rows/ledgerRow.js";
import type { DecisionContext } from "../decisionContext.js";
import { addOrder } from "./addOrder.js";

/**
 * Makes every earlier order to a target void before its memory is judged. A target that ignores fencing numbers is
 * judged at once: it is only taken when its previous owner is gone.
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
