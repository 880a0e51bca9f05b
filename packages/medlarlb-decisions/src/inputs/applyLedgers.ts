import type { LedgerDocument } from "medlarlb-types/ledgerDocument";
import type { TargetId } from "medlarlb-types/targetId";
import { isOwnerDead } from "../placement/isOwnerDead.js";
import { acquireLedger } from "../placement/acquireLedger.js";
import type { LedgerRow } from "../rows/ledgerRow.js";
import type { DecisionContext } from "../decisionContext.js";

const mayAcquire = (context: DecisionContext, ledger: LedgerRow): boolean => {
    const document = ledger.document;
    if (document === undefined || document.released === true || context.targets.get(ledger.targetId)?.spec.fencing === "enforced") {
        return true;
    }
    if (!isOwnerDead(context, document)) {
        ledger.ownerDeadSinceMs = undefined;
        return false;
    }
    ledger.ownerDeadSinceMs ??= context.nowMs;
    return context.nowMs - ledger.ownerDeadSinceMs >= context.cfg.orderLingerMs;
};

/** Applies the ledgers that were read from the KV service, and starts to acquire those that are free to acquire. */
export const applyLedgers = (context: DecisionContext, documents: Map<TargetId, { document: LedgerDocument; revision: number }>): void => {
    for (const ledger of context.ledgers.values()) {
        if (ledger.stage !== "unread" && ledger.stage !== "blocked") {
            continue;
        }
        const found = documents.get(ledger.targetId);
        ledger.document = found?.document;
        ledger.revision = found?.revision ?? 0;
        const isPlannerOutdated = (ledger.document?.fence ?? 0) > (context.plannerFence ?? 0);
        if (!isPlannerOutdated && mayAcquire(context, ledger)) {
            acquireLedger(context, ledger);
        }
        else {
            ledger.stage = "blocked";
        }
    }
};
