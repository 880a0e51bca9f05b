import type { ItemId } from "medlarlb-types/itemId";
import { findAnchor } from "../placement/findAnchor.js";
import { isHealthy } from "../placement/isHealthy.js";
import { requestLoad } from "../placement/requestLoad.js";
import type { DemandRow } from "../rows/demandRow.js";
import type { DecisionContext } from "../decisionContext.js";

/** Load of a replica, as a share of its slots, above which a further replica is worth while. */
const BUSY_SHARE = 0.7;

const predictUnmet = (world: DecisionContext, row: DemandRow): number => {
    let freeSlots = 0;
    let serviceMs = world.cfg.expectedServiceMs;
    for (const targetId of world.replicas.get(row.itemId) ?? []) {
        const target = world.targets.get(targetId);
        if (isHealthy(target)) {
            const used = (target.report?.inFlight ?? 0) + (target.report?.queued ?? 0);
            freeSlots += Math.max(0, target.spec.slots * BUSY_SHARE - used);
            serviceMs = target.serviceMs;
        }
    }
    const neededSlots = row.fastRate * serviceMs / 1_000;
    const missingSlots = neededSlots - freeSlots - neededSlots * BUSY_SHARE;
    return Math.max(0, missingSlots * 1_000 / serviceMs);
};

const isLoadingHere = (world: DecisionContext, itemId: ItemId): boolean =>
    [...world.ledgers.values()].some(ledger => ledger.entries.get(itemId)?.state === "loading");

const planItem = (world: DecisionContext, row: DemandRow): void => {
    const item = world.items.get(row.itemId);
    if (item === undefined || isLoadingHere(world, row.itemId)) {
        return;
    }
    const gain = Math.min(row.fastRate, Math.max(row.unmetRate, predictUnmet(world, row)));
    const worth = world.cfg.attainmentWeight * gain * world.cfg.amortizationMs / 1_000;
    if (gain <= 0 || worth <= world.cfg.moveWeight) {
        return;
    }
    const cause = findAnchor(world, row.itemId).document?.targetId;
    const lastDecision = cause === undefined ? undefined : world.targets.get(cause)?.lastDecision;
    requestLoad(world, {
        item,
        reason: "requests of the zone find no free replica",
        floor: false,
        gain,
        ...(lastDecision === undefined ? {} : { cause: lastDecision }),
    });
};

/** Loads further replicas where the unmet demand of the zone pays for the move. The most wanted item goes first. */
export const planDemand = (world: DecisionContext): void => {
    const rows = [...world.demand.values()].filter(row => row.fastRate > 0);
    rows.sort((a, b) => b.unmetRate - a.unmetRate || b.fastRate - a.fastRate);
    for (const row of rows) {
        planItem(world, row);
    }
};
