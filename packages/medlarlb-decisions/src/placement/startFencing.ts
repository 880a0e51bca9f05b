import type { LedgerRow } from "../rows/ledgerRow.js";
import type { DecisionContext } from "../decisionContext.js";
import { addOrder } from "./addOrder.js";

/**
 * Makes every earlier order to a target void before its memory is judged. A target that ignores fencing numbers is
 * judged at once: it is only taken when its previous owner is gone.
 */
export const startFencing = (world: DecisionContext, ledger: LedgerRow): void => {
    if (world.targets.get(ledger.targetId)?.spec.fencing !== "enforced") {
        ledger.stage = "judging";
        ledger.judgeAfterMs = world.nowMs;
        return;
    }
    ledger.stage = "fencing";
    addOrder(world, ledger, { action: "fence" });
};
