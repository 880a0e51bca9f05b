import type { ItemId } from "medlarlb-types/itemId";
import { getOrCreateAnchor } from "../placement/getOrCreateAnchor.js";
import { isTargetAvailable } from "../placement/isTargetAvailable.js";
import { orderLoad } from "../placement/orderLoad.js";
import type { DemandRow } from "../rows/demandRow.js";
import type { DecisionContext } from "../decisionContext.js";

/** Load of a replica, as a share of its slots, above which a further replica is worth while. */
const BUSY_SHARE = 0.7;

const predictUnmet = (context: DecisionContext, row: DemandRow): number => {
    let freeSlots = 0;
    let serviceMs = context.cfg.expectedServiceMs;
    for (const targetId of context.replicas.get(row.itemId) ?? []) {
        const target = context.targets.get(targetId);
        if (isTargetAvailable(target)) {
            const used = (target.report?.inFlight ?? 0) + (target.report?.queued ?? 0);
            freeSlots += Math.max(0, target.spec.slots * BUSY_SHARE - used);
            serviceMs = target.averageServiceMs;
        }
    }
    const neededSlots = row.fastRate * serviceMs / 1_000;
    const missingSlots = neededSlots - freeSlots - neededSlots * BUSY_SHARE;
    return Math.max(0, missingSlots * 1_000 / serviceMs);
};

const isLoadingHere = (context: DecisionContext, itemId: ItemId): boolean =>
    [...context.ledgers.values()].some(ledger => ledger.entries.get(itemId)?.state === "loading");

const planItem = (context: DecisionContext, row: DemandRow): void => {
    const item = context.items.get(row.itemId);
    if (item === undefined || isLoadingHere(context, row.itemId)) {
        return;
    }
    const gain = Math.min(row.fastRate, Math.max(row.unmetRate, predictUnmet(context, row)));
    const worth = context.cfg.attainmentWeight * gain * context.cfg.amortizationMs / 1_000;
    if (gain <= 0 || worth <= context.cfg.moveWeight) {
        return;
    }
    const cause = getOrCreateAnchor(context, row.itemId).document?.targetId;
    const lastDecision = cause === undefined ? undefined : context.targets.get(cause)?.lastDecision;
    orderLoad(context, {
        item,
        reason: "requests of the zone find no free replica",
        floor: false,
        gain,
        ...(lastDecision === undefined ? {} : { cause: lastDecision }),
    });
};

/** Loads further replicas where the unmet demand of the zone pays for the move. The most wanted item goes first. */
export const planScaleOut = (context: DecisionContext): void => {
    const rows = [...context.demand.values()].filter(row => row.fastRate > 0);
    rows.sort((a, b) => b.unmetRate - a.unmetRate || b.fastRate - a.fastRate);
    for (const row of rows) {
        planItem(context, row);
    }
};
