import type { LedgerDocument } from "medlarlb-types/ledgerDocument";
import type { DecisionContext } from "../decisionContext.js";

/**
 * Tells whether the owner of a ledger can send no further orders. It is gone when it was replaced by another run of
 * the same instance, or when the platform's list doesn't hold it and no member has it alive.
 */
export const isOwnerDead = (context: DecisionContext, document: LedgerDocument): boolean => {
    const { instanceId, bootId } = context.cfg;
    if (document.owner === instanceId) {
        return document.ownerBoot !== bootId;
    }
    const aliveBoot = context.alive.get(document.owner);
    if (aliveBoot !== undefined) {
        return aliveBoot !== document.ownerBoot;
    }
    return context.instancesListedAtMs > 0 && !context.listedInstances.has(document.owner);
};
