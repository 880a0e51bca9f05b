import type { LedgerEntry } from "medlarlb-types/ledgerEntry";
import type { LedgerRow } from "../rows/ledgerRow.js";
import type { DecisionContext } from "../decisionContext.js";
import { findAnchor } from "./findAnchor.js";
import { isAnchorHealthy } from "./isAnchorHealthy.js";
import { isBaseOf } from "./isBaseOf.js";

/** Age of the anchor's report up to which another replica may go. Silence is noticed much later. */
const ANCHOR_FRESH_MS = 1_000;

const carriesAdapters = (world: DecisionContext, ledger: LedgerRow, entry: LedgerEntry): boolean => {
    const others = [...ledger.entries.values()].filter(each => each.itemId !== entry.itemId);
    return others.some(other => {
        const model = world.items.get(other.itemId)?.baseModel;
        const needsBase = model !== undefined && other.state !== "quarantined" && isBaseOf(entry.itemId, model);
        return needsBase && !others.some(each => isBaseOf(each.itemId, model) && each.state === "resident");
    });
};

/** Whether the versions that replaced an item that is configured no more all have a healthy anchor. */
const isReplaced = (world: DecisionContext, entry: LedgerEntry): boolean => {
    const names = [...world.itemsByName.values()].filter(items => items.includes(entry.itemId));
    return names.every(items => {
        const current = items[0];
        return current !== undefined && current !== entry.itemId && isAnchorHealthy(world, findAnchor(world, current));
    });
};

/**
 * Tells whether a replica may be unloaded without leaving an item unreachable. The anchor stays. Anchors are only
 * moved to a replica of the mover's own, so an owner that sees another replica as anchor can't be overtaken.
 */
export const mayUnload = (world: DecisionContext, ledger: LedgerRow, entry: LedgerEntry): boolean => {
    if (entry.state !== "resident" || carriesAdapters(world, ledger, entry)) {
        return false;
    }
    const anchor = findAnchor(world, entry.itemId);
    if (anchor.pending?.targetId === ledger.targetId) {
        return false;
    }
    if (!world.items.has(entry.itemId)) {
        return isReplaced(world, entry);
    }
    if (anchor.document === undefined || anchor.document.targetId === ledger.targetId) {
        return false;
    }
    const reportedAtMs = world.targets.get(anchor.document.targetId)?.reportedAtMs ?? 0;
    return isAnchorHealthy(world, anchor) && world.nowMs - reportedAtMs <= ANCHOR_FRESH_MS;
};
