import type { DecisionId } from "medlarlb-types/decisionId";
import type { LedgerEntry } from "medlarlb-types/ledgerEntry";
import type { TargetId } from "medlarlb-types/targetId";
import type { ItemRow } from "../rows/itemRow.js";
import type { LedgerRow } from "../rows/ledgerRow.js";
import type { DecisionContext } from "../decisionContext.js";
import { findAnchor } from "./findAnchor.js";
import { freeBytes } from "./freeBytes.js";
import { isBaseOf } from "./isBaseOf.js";
import { listLoadTargets } from "./listLoadTargets.js";
import { mayUnload } from "./mayUnload.js";
import { requestLoad } from "./requestLoad.js";

interface Relocation {
    item: ItemRow;
    from: TargetId;
    to: TargetId;
    bytes: number;
}

const evictableBytes = (world: DecisionContext, ledger: LedgerRow): number =>
    [...ledger.entries.values()].reduce((sum, entry) => sum + (mayUnload(world, ledger, entry) ? entry.bytes : 0), 0);

const carriesAdapter = (world: DecisionContext, ledger: LedgerRow, entry: LedgerEntry): boolean =>
    [...ledger.entries.values()].some(other => {
        const model = world.items.get(other.itemId)?.baseModel;
        return model !== undefined && isBaseOf(entry.itemId, model);
    });

const planMove = (world: DecisionContext, ledger: LedgerRow, entry: LedgerEntry, missing: number): Relocation[] => {
    const item = world.items.get(entry.itemId);
    const anchored = findAnchor(world, entry.itemId).document?.targetId === ledger.targetId;
    if (item === undefined || !anchored || entry.state !== "resident" || entry.bytes < missing || carriesAdapter(world, ledger, entry)) {
        return [];
    }
    return listLoadTargets(world, item)
        .filter(to => to !== ledger && freeBytes(world, to) >= entry.bytes)
        .map(to => ({ item, from: ledger.targetId, to: to.targetId, bytes: entry.bytes }));
};

/**
 * Moves the smallest anchored replica that keeps an item from fitting to another target of the zone. The replica stays
 * where it is until the anchor has moved, so the moved item is reachable throughout.
 */
export const relocateAnchor = (world: DecisionContext, item: ItemRow, bytes: number, cause?: DecisionId): void => {
    if (world.relocations.size > 0) {
        return;
    }
    const moves = listLoadTargets(world, item).flatMap(ledger => {
        const missing = bytes - freeBytes(world, ledger) - evictableBytes(world, ledger);
        return [...ledger.entries.values()].flatMap(entry => planMove(world, ledger, entry, missing));
    });
    const best = moves.sort((a, b) => a.bytes - b.bytes)[0];
    if (best === undefined) {
        return;
    }
    const started = requestLoad(world, {
        item: best.item,
        reason: `moves from ${best.from} to make room for ${item.itemId}`,
        floor: true,
        gain: 0,
        to: best.to,
        ...(cause === undefined ? {} : { cause }),
    });
    if (started) {
        world.relocations.set(best.item.itemId, { from: best.from, to: best.to });
    }
};
