import type { DecisionId } from "medlarlb-types/decisionId";
import type { LedgerEntry } from "medlarlb-types/ledgerEntry";
import type { TargetId } from "medlarlb-types/targetId";
import type { ItemRow } from "../rows/itemRow.js";
import type { LedgerRow } from "../rows/ledgerRow.js";
import type { DecisionContext } from "../decisionContext.js";
import { getOrCreateAnchor } from "./getOrCreateAnchor.js";
import { freeBytes } from "./freeBytes.js";
import { isVersionOf } from "./isVersionOf.js";
import { listLoadTargets } from "./listLoadTargets.js";
import { mayUnload } from "./mayUnload.js";
import { orderLoad } from "./orderLoad.js";

interface Relocation {
    item: ItemRow;
    from: TargetId;
    to: TargetId;
    bytes: number;
}

const evictableBytes = (context: DecisionContext, ledger: LedgerRow): number =>
    [...ledger.entries.values()].reduce((sum, entry) => sum + (mayUnload(context, ledger, entry) ? entry.bytes : 0), 0);

const isBaseOfAdapter = (context: DecisionContext, ledger: LedgerRow, entry: LedgerEntry): boolean =>
    [...ledger.entries.values()].some(other => {
        const model = context.items.get(other.itemId)?.baseModel;
        return model !== undefined && isVersionOf(entry.itemId, model);
    });

const listRelocations = (context: DecisionContext, ledger: LedgerRow, entry: LedgerEntry, missingBytes: number): Relocation[] => {
    const item = context.items.get(entry.itemId);
    const isAnchor = getOrCreateAnchor(context, entry.itemId).document?.targetId === ledger.targetId;
    if (item === undefined || !isAnchor || entry.state !== "resident" || entry.bytes < missingBytes || isBaseOfAdapter(context, ledger, entry)) {
        return [];
    }
    return listLoadTargets(context, item)
        .filter(to => to !== ledger && freeBytes(context, to) >= entry.bytes)
        .map(to => ({ item, from: ledger.targetId, to: to.targetId, bytes: entry.bytes }));
};

/**
 * Makes an item fit by moving an anchor to another target of the zone: the smallest one that frees enough bytes. The old
 * replica stays loaded until the anchor has moved, so the moved item is reachable throughout. One anchor moves at a time.
 */
export const relocateAnchor = (context: DecisionContext, item: ItemRow, bytes: number, cause?: DecisionId): void => {
    if (context.relocations.size > 0) {
        return;
    }
    const candidates = listLoadTargets(context, item).flatMap(ledger => {
        const missingBytes = bytes - freeBytes(context, ledger) - evictableBytes(context, ledger);
        return [...ledger.entries.values()].flatMap(entry => listRelocations(context, ledger, entry, missingBytes));
    });
    const smallest = candidates.sort((a, b) => a.bytes - b.bytes)[0];
    if (smallest === undefined) {
        return;
    }
    const isLoadOrdered = orderLoad(context, {
        item: smallest.item,
        reason: `moves from ${smallest.from} to free memory for ${item.itemId}`,
        floor: true,
        gain: 0,
        onlyTargetId: smallest.to,
        ...(cause === undefined ? {} : { cause }),
    });
    if (isLoadOrdered) {
        context.relocations.set(smallest.item.itemId, { from: smallest.from, to: smallest.to });
    }
};
