import type { OperationId } from "medlarlb-types/operationId";
import type { TargetId } from "medlarlb-types/targetId";
import { kvKeys } from "medlarlb-types/kvKeys";
import { createId } from "../createId.js";
import { findAnchor } from "../placement/findAnchor.js";
import { isAnchorHealthy } from "../placement/isAnchorHealthy.js";
import { isHealthy } from "../placement/isHealthy.js";
import { rankZones } from "../placement/rankZones.js";
import { requestLoad } from "../placement/requestLoad.js";
import type { AnchorRow } from "../rows/anchorRow.js";
import type { ItemRow } from "../rows/itemRow.js";
import type { World } from "../world.js";

const findOwnReplica = (world: World, item: ItemRow): TargetId | undefined => {
    for (const ledger of world.ledgers.values()) {
        const resident = ledger.stage === "owned" && ledger.entries.get(item.itemId)?.state === "resident";
        if (resident && isHealthy(world.targets.get(ledger.targetId))) {
            return ledger.targetId;
        }
    }
    return undefined;
};

const countOwnReplicas = (world: World, item: ItemRow): number => {
    let count = 0;
    for (const ledger of world.ledgers.values()) {
        const state = ledger.entries.get(item.itemId)?.state;
        const counts = state === "resident" || state === "loading";
        count += counts && isHealthy(world.targets.get(ledger.targetId)) ? 1 : 0;
    }
    return count;
};

const writeAnchor = (world: World, anchor: AnchorRow, targetId: TargetId): void => {
    const operationId = createId<OperationId>(world, "anchor");
    const key = kvKeys.anchor(anchor.itemId);
    const document = { itemId: anchor.itemId, targetId, zone: world.cfg.zone, operationId };
    anchor.pending = { operationId, targetId };
    anchor.nextWriteMs = Number.POSITIVE_INFINITY;
    world.commands.push({
        kind: "write",
        write: {
            operationId,
            compares: [{ key, revision: anchor.revision }],
            puts: [{ key, value: JSON.stringify(document) }],
            deletes: [],
        },
    });
};

const repairFloor = (world: World, item: ItemRow, anchor: AnchorRow): void => {
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
export const planFloors = (world: World): void => {
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
