import type { LedgerDocument } from "medlarlb-types/ledgerDocument";
import type { TargetId } from "medlarlb-types/targetId";
import { isOwnerGone } from "../placement/isOwnerGone.js";
import { takeLedger } from "../placement/takeLedger.js";
import type { LedgerRow } from "../rows/ledgerRow.js";
import type { DecisionContext } from "../decisionContext.js";

const mayTake = (world: DecisionContext, ledger: LedgerRow): boolean => {
    const document = ledger.document;
    if (document === undefined || document.released === true || world.targets.get(ledger.targetId)?.spec.fencing === "enforced") {
        return true;
    }
    if (!isOwnerGone(world, document)) {
        ledger.ownerGoneAtMs = undefined;
        return false;
    }
    ledger.ownerGoneAtMs ??= world.nowMs;
    return world.nowMs - ledger.ownerGoneAtMs >= world.cfg.orderLingerMs;
};

/** Takes over what the KV service holds of the ledgers, and starts to take those that may be taken. */
export const applyLedgers = (world: DecisionContext, documents: Map<TargetId, { document: LedgerDocument; revision: number }>): void => {
    for (const ledger of world.ledgers.values()) {
        if (ledger.stage !== "unread" && ledger.stage !== "blocked") {
            continue;
        }
        const found = documents.get(ledger.targetId);
        ledger.document = found?.document;
        ledger.revision = found?.revision ?? 0;
        const newerPlanner = (ledger.document?.fence ?? 0) > (world.plannerFence ?? 0);
        if (!newerPlanner && mayTake(world, ledger)) {
            takeLedger(world, ledger);
        }
        else {
            ledger.stage = "blocked";
        }
    }
};
