import type { TargetId } from "medlarlb-types/targetId";
import { findAnchor } from "../placement/findAnchor.js";
import { freeBytes } from "../placement/freeBytes.js";
import { isAnchorHealthy } from "../placement/isAnchorHealthy.js";
import { isHealthy } from "../placement/isHealthy.js";
import { listLoadTargets } from "../placement/listLoadTargets.js";
import { rankZones } from "../placement/rankZones.js";
import { relocateAnchor } from "../placement/relocateAnchor.js";
import { requestLoad } from "../placement/requestLoad.js";
import { writeAnchor } from "../placement/writeAnchor.js";
import type { AnchorRow } from "../rows/anchorRow.js";
import type { ItemRow } from "../rows/itemRow.js";
import type { DecisionContext } from "../decisionContext.js";

const findOwnReplica = (world: DecisionContext, item: ItemRow): TargetId | undefined => {
    for (const ledger of world.ledgers.values()) {
        const resident = ledger.stage === "owned" && ledger.entries.get(item.itemId)?.state === "resident";
        if (resident && isHealthy(world.targets.get(ledger.targetId))) {
            return ledger.targetId;
        }
    }
    return undefined;
};

const countOwnReplicas = (world: DecisionContext, item: ItemRow): number => {
    let count = 0;
    for (const ledger of world.ledgers.values()) {
        const state = ledger.entries.get(item.itemId)?.state;
        const counts = state === "resident" || state === "loading";
        count += counts && isHealthy(world.targets.get(ledger.targetId)) ? 1 : 0;
    }
    return count;
};

/**
 * Finds a way for an item that fits nowhere: an anchored replica moves aside, or, for an adapter, its model gets a
 * further replica where both have room.
 */
const findRoom = (world: DecisionContext, item: ItemRow): void => {
    const base = [...world.items.values()].find(other => other.kind === "model" && other.name === item.baseModel);
    if (base !== undefined) {
        const roomy = listLoadTargets(world, base).find(ledger => freeBytes(world, ledger) >= base.bytes + item.bytes);
        if (roomy !== undefined) {
            requestLoad(world, { item: base, reason: `${item.itemId} has no room beside it`, floor: true, gain: 0, to: roomy.targetId });
            return;
        }
    }
    relocateAnchor(world, item, item.bytes);
};

const repairFloor = (world: DecisionContext, item: ItemRow, anchor: AnchorRow): void => {
    const ownReplica = findOwnReplica(world, item);
    if (ownReplica !== undefined) {
        if (world.nowMs >= anchor.nextWriteMs) {
            writeAnchor(world, anchor, ownReplica);
        }
        return;
    }
    if (countOwnReplicas(world, item) > 0) {
        return;
    }
    const lostTarget = anchor.document === undefined ? undefined : world.targets.get(anchor.document.targetId);
    const reason = anchor.document === undefined ? "the item has no replica yet" : `its anchor on ${anchor.document.targetId} is lost`;
    requestLoad(world, {
        item,
        reason,
        floor: true,
        gain: 0,
        onNoRoom: comes => {
            if (!comes) {
                findRoom(world, item);
            }
        },
        ...(lostTarget?.lastDecision === undefined ? {} : { cause: lostTarget.lastDecision }),
    });
};

/** Replicas beyond the anchor are dealt out over the zones in the order of their rank. */
const wantedReplicas = (item: ItemRow, rank: number, zones: number): number =>
    rank < 0 ? 0 : Math.floor((item.minReplicas + zones - 1 - rank) / zones);

/**
 * Keeps every configured item reachable. The zone of the first rank holds the anchor; each further zone takes over
 * after one more step of waiting, so that zones which can't see each other repair without agreement.
 */
export const planFloors = (world: DecisionContext): void => {
    if (!world.anchorsRead) {
        return;
    }
    for (const item of world.items.values()) {
        const anchor = findAnchor(world, item.itemId);
        const zones = rankZones(world, item);
        const rank = zones.indexOf(world.cfg.zone);
        if (isAnchorHealthy(world, anchor)) {
            anchor.lostSinceMs = undefined;
            if (item.minReplicas > 1 && countOwnReplicas(world, item) < wantedReplicas(item, rank, zones.length)) {
                requestLoad(world, { item, reason: "the placement wish asks for more replicas", floor: false, gain: Number.MAX_SAFE_INTEGER });
            }
            continue;
        }
        anchor.lostSinceMs ??= world.nowMs;
        const ownReplica = rank >= 0 && world.nowMs - anchor.lostSinceMs >= rank * world.cfg.anchorRepairStepMs;
        if (ownReplica) {
            repairFloor(world, item, anchor);
        }
    }
};
