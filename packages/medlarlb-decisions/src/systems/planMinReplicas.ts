import type { TargetId } from "medlarlb-types/targetId";
import { getOrCreateAnchor } from "../placement/getOrCreateAnchor.js";
import { freeBytes } from "../placement/freeBytes.js";
import { isAnchorHealthy } from "../placement/isAnchorHealthy.js";
import { isTargetAvailable } from "../placement/isTargetAvailable.js";
import { listLoadTargets } from "../placement/listLoadTargets.js";
import { rankZones } from "../placement/rankZones.js";
import { relocateAnchor } from "../placement/relocateAnchor.js";
import { orderLoad } from "../placement/orderLoad.js";
import { writeAnchor } from "../placement/writeAnchor.js";
import type { AnchorRow } from "../rows/anchorRow.js";
import type { ItemRow } from "../rows/itemRow.js";
import type { DecisionContext } from "../decisionContext.js";

const findOwnReplica = (context: DecisionContext, item: ItemRow): TargetId | undefined => {
    for (const ledger of context.ledgers.values()) {
        const isResident = ledger.stage === "owned" && ledger.entries.get(item.itemId)?.state === "resident";
        if (isResident && isTargetAvailable(context.targets.get(ledger.targetId))) {
            return ledger.targetId;
        }
    }
    return undefined;
};

const countOwnReplicas = (context: DecisionContext, item: ItemRow): number => {
    let count = 0;
    for (const ledger of context.ledgers.values()) {
        const state = ledger.entries.get(item.itemId)?.state;
        const isCounted = state === "resident" || state === "loading";
        count += isCounted && isTargetAvailable(context.targets.get(ledger.targetId)) ? 1 : 0;
    }
    return count;
};

/**
 * Makes space for an item that fits nowhere. An adapter's model is loaded on a further target that has space for both;
 * otherwise, an anchored replica moves to another target.
 */
const makeSpaceFor = (context: DecisionContext, item: ItemRow): void => {
    const base = [...context.items.values()].find(other => other.kind === "model" && other.name === item.baseModel);
    if (base !== undefined) {
        const ledgerWithSpace = listLoadTargets(context, base).find(ledger => freeBytes(context, ledger) >= base.bytes + item.bytes);
        if (ledgerWithSpace !== undefined) {
            orderLoad(context, { item: base, reason: `${item.itemId} doesn't fit on any target that holds this model`, floor: true, gain: 0, onlyTargetId: ledgerWithSpace.targetId });
            return;
        }
    }
    relocateAnchor(context, item, item.bytes);
};

const restoreAnchor = (context: DecisionContext, item: ItemRow, anchor: AnchorRow): void => {
    const ownReplica = findOwnReplica(context, item);
    if (ownReplica !== undefined) {
        if (context.nowMs >= anchor.nextWriteMs) {
            writeAnchor(context, anchor, ownReplica);
        }
        return;
    }
    if (countOwnReplicas(context, item) > 0) {
        return;
    }
    const lostTarget = anchor.document === undefined ? undefined : context.targets.get(anchor.document.targetId);
    const reason = anchor.document === undefined ? "the item has no replica yet" : `its anchor on ${anchor.document.targetId} is lost`;
    orderLoad(context, {
        item,
        reason,
        floor: true,
        gain: 0,
        onNoSpace: isEvicting => {
            if (!isEvicting) {
                makeSpaceFor(context, item);
            }
        },
        ...(lostTarget?.lastDecision === undefined ? {} : { cause: lostTarget.lastDecision }),
    });
};

/** Returns how many of the minimum replicas a zone keeps. They are distributed over the zones in the order of rank. */
const zoneMinReplicas = (item: ItemRow, rank: number, zoneCount: number): number =>
    rank < 0 ? 0 : Math.floor((item.minReplicas + zoneCount - 1 - rank) / zoneCount);

/**
 * Keeps every configured item reachable. If its anchor is lost, the zone of the first rank restores it at once, and each
 * further zone after one more `anchorRepairStepMs`, so zones that can't reach each other repair it without agreement. While
 * the anchor is healthy, each zone loads its part of the minimum replicas.
 */
export const planMinReplicas = (context: DecisionContext): void => {
    if (!context.anchorsRead) {
        return;
    }
    for (const item of context.items.values()) {
        const anchor = getOrCreateAnchor(context, item.itemId);
        const zones = rankZones(context, item);
        const rank = zones.indexOf(context.cfg.zone);
        if (isAnchorHealthy(context, anchor)) {
            anchor.unhealthySinceMs = undefined;
            if (item.minReplicas > 1 && countOwnReplicas(context, item) < zoneMinReplicas(item, rank, zones.length)) {
                orderLoad(context, { item, reason: "the item's placement asks for more replicas", floor: false, gain: Number.MAX_SAFE_INTEGER });
            }
            continue;
        }
        anchor.unhealthySinceMs ??= context.nowMs;
        const isRepairDue = rank >= 0 && context.nowMs - anchor.unhealthySinceMs >= rank * context.cfg.anchorRepairStepMs;
        if (isRepairDue) {
            restoreAnchor(context, item, anchor);
        }
    }
};
