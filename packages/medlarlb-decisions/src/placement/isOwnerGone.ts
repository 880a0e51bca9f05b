import type { LedgerDocument } from "medlarlb-types/ledgerDocument";
import type { DecisionContext } from "../decisionContext.js";

/**
 * Tells whether the owner of a ledger can send no further orders. It is gone when it was replaced by another run of
 * the same instance, or when the platform's list doesn't hold it and no member has it alive.
 */
export const isOwnerGone = (world: DecisionContext, document: LedgerDocument): boolean => {
    const { instanceId, bootId } = world.cfg;
    if (document.owner === instanceId) {
        return document.ownerBoot !== bootId;
    }
    const aliveBoot = world.alive.get(document.owner);
    if (aliveBoot !== undefined) {
        return aliveBoot !== document.ownerBoot;
    }
    return world.listedAtMs > 0 && !world.listed.has(document.owner);
};
