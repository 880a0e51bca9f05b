import type { LedgerDocument } from "medlarlb-types/ledgerDocument";
import type { DecisionContext } from "../decisionContext.js";

/**
 * Returns whether the owner of a ledger can't send further orders. It is dead if another process of the same instance
 * has replaced it, or if it is neither in the platform's list nor an alive member.
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
