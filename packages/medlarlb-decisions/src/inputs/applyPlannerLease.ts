import { dropLedger } from "../placement/dropLedger.js";
import type { DecisionContext } from "../decisionContext.js";

/** Number of fencing numbers that belong to one lease. The owner of a ledger uses the next one when the target restarts. */
const FENCE_COUNT_PER_LEASE = 1_000;

/**
 * Makes this instance the planner under a new lease. An expired lease changes nothing by itself: the owner continues
 * within its ledgers until another planner acquires them. A new lease drops the ledgers, so that they are read again.
 * Owned ledgers of targets that ignore fencing stay: unanswered orders to such a target can't be invalidated, so the
 * ledger that records their bytes must be kept.
 */
export const applyPlannerLease = (context: DecisionContext, leaseRevision: number | undefined): void => {
    if (leaseRevision === undefined) {
        return;
    }
    const fence = leaseRevision * FENCE_COUNT_PER_LEASE;
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
