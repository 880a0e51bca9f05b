import type { LedgerEntry } from "medlarlb-types/ledgerEntry";
import type { LedgerRow } from "../rows/ledgerRow.js";
import type { DecisionContext } from "../decisionContext.js";
import { getOrCreateAnchor } from "./getOrCreateAnchor.js";
import { isAnchorHealthy } from "./isAnchorHealthy.js";
import { isVersionOf } from "./isVersionOf.js";

/** Maximum age of the report of the anchor's target when another replica is unloaded. Silence is detected much later. */
const MAX_ANCHOR_REPORT_AGE_MS = 1_000;

const isLastBaseOfAdapter = (context: DecisionContext, ledger: LedgerRow, entry: LedgerEntry): boolean => {
    const others = [...ledger.entries.values()].filter(each => each.itemId !== entry.itemId);
    return others.some(other => {
        const model = context.items.get(other.itemId)?.baseModel;
        const needsBase = model !== undefined && other.state !== "quarantined" && isVersionOf(entry.itemId, model);
        return needsBase && !others.some(each => isVersionOf(each.itemId, model) && each.state === "resident");
    });
};

/** Returns whether all versions that replace an item that is no longer configured have a healthy anchor. */
const isReplaced = (context: DecisionContext, entry: LedgerEntry): boolean => {
    const names = [...context.itemsByName.values()].filter(items => items.includes(entry.itemId));
    return names.every(items => {
        const current = items[0];
        return current !== undefined && current !== entry.itemId && isAnchorHealthy(context, getOrCreateAnchor(context, current));
    });
};

/**
 * Returns whether a replica may be unloaded without making an item unreachable. The anchor isn't unloaded. An instance
 * moves an anchor only to a replica that it owns, so no other instance can make this replica the anchor meanwhile.
 */
export const mayUnload = (context: DecisionContext, ledger: LedgerRow, entry: LedgerEntry): boolean => {
    if (entry.state !== "resident" || isLastBaseOfAdapter(context, ledger, entry)) {
        return false;
    }
    const anchor = getOrCreateAnchor(context, entry.itemId);
    if (anchor.pending?.targetId === ledger.targetId) {
        return false;
    }
    if (!context.items.has(entry.itemId)) {
        return isReplaced(context, entry);
    }
    if (anchor.document === undefined || anchor.document.targetId === ledger.targetId) {
        return false;
    }
    const reportedAtMs = context.targets.get(anchor.document.targetId)?.reportedAtMs ?? 0;
    return isAnchorHealthy(context, anchor) && context.nowMs - reportedAtMs <= MAX_ANCHOR_REPORT_AGE_MS;
};
