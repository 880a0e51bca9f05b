import type { ItemId } from "medlarlb-types/itemId";
import { getOrCreateAnchor } from "../placement/getOrCreateAnchor.js";
import { isTargetAvailable } from "../placement/isTargetAvailable.js";
import { orderLoad } from "../placement/orderLoad.js";
import type { DemandRow } from "../rows/demandRow.js";
import type { DecisionContext } from "../decisionContext.js";

/** Ratio of a replica's slots that may be in use before a further replica is considered. */
const BUSY_RATIO = 0.7;

/** Predicts the rate of requests, in requests a second, for which the replicas of an item have no slots. */
const predictUnmetRate = (context: DecisionContext, row: DemandRow): number => {
    let freeSlots = 0;
    let serviceMs = context.cfg.expectedServiceMs;
    for (const targetId of context.replicas.get(row.itemId) ?? []) {
        const target = context.targets.get(targetId);
        if (isTargetAvailable(target)) {
            const requestCount = (target.report?.inFlight ?? 0) + (target.report?.queued ?? 0);
            freeSlots += Math.max(0, target.spec.slots * BUSY_RATIO - requestCount);
            serviceMs = target.averageServiceMs;
        }
    }
    const neededSlots = row.fastRate * serviceMs / 1_000;
    const missingSlots = neededSlots - freeSlots - neededSlots * BUSY_RATIO;
    return Math.max(0, missingSlots * 1_000 / serviceMs);
};

const isLoadingInZone = (context: DecisionContext, itemId: ItemId): boolean =>
    [...context.ledgers.values()].some(ledger => ledger.entries.get(itemId)?.state === "loading");

const scaleOutItem = (context: DecisionContext, row: DemandRow): void => {
    const item = context.items.get(row.itemId);
    if (item === undefined || isLoadingInZone(context, row.itemId)) {
        return;
    }
    const gain = Math.min(row.fastRate, Math.max(row.unmetRate, predictUnmetRate(context, row)));
    const benefit = context.cfg.attainmentWeight * gain * context.cfg.amortizationMs / 1_000;
    if (gain <= 0 || benefit <= context.cfg.moveWeight) {
        return;
    }
    const anchorTargetId = getOrCreateAnchor(context, row.itemId).document?.targetId;
    const lastDecision = anchorTargetId === undefined ? undefined : context.targets.get(anchorTargetId)?.lastDecision;
    orderLoad(context, {
        item,
        reason: "requests of the zone find no free replica",
        floor: false,
        gain,
        ...(lastDecision === undefined ? {} : { cause: lastDecision }),
    });
};

/**
 * Loads a further replica of each item whose unmet demand, or predicted unmet demand, in the zone outweighs the cost of a
 * load. Items with the highest unmet demand come first.
 */
export const planScaleOut = (context: DecisionContext): void => {
    const rows = [...context.demand.values()].filter(row => row.fastRate > 0);
    rows.sort((a, b) => b.unmetRate - a.unmetRate || b.fastRate - a.fastRate);
    for (const row of rows) {
        scaleOutItem(context, row);
    }
};
