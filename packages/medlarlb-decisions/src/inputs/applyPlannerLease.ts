import { dropLedger } from "../placement/dropLedger.js";
import type { DecisionContext } from "../decisionContext.js";

/** Fencing numbers of one lease. The owner counts up inside them when a target restarts. */
const FENCES_PER_LEASE = 1_000;

/**
 * Starts the planner's role under a new lease. A lapsed lease ends nothing by itself: the owner goes on inside its
 * ledgers until another planner takes them over. A new lease starts the ledgers anew, but for targets that ignore
 * fencing numbers: their unanswered orders can't be made void, so the row that knows of them stays.
 */
export const applyPlannerLease = (context: DecisionContext, leaseRevision: number | undefined): void => {
    if (leaseRevision === undefined) {
        return;
    }
    const fence = leaseRevision * FENCES_PER_LEASE;
    if (context.plannerFence === fence) {
        return;
    }
    context.plannerFence = fence;
    context.nextLedgerReadMs = 0;
    for (const ledger of [...context.ledgers.values()]) {
        const enforced = context.targets.get(ledger.targetId)?.spec.fencing === "enforced";
        if (enforced || ledger.stage !== "owned") {
            dropLedger(context, ledger);
        }
    }
};
