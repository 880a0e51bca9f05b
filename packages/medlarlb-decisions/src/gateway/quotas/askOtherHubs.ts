import type { GatewayContext } from "../gatewayContext.js";
import { countPooled } from "./countPooled.js";
import { listOtherQuotaHubs } from "./listOtherQuotaHubs.js";
import type { QuotaRow } from "./quotaRow.js";
import { readRecentUse } from "./readRecentUse.js";

/** Shortest time in ms between two queries of a hub to the others about one quota: a few round trips. */
const MIN_INTERVAL_MS = 40;
const MIN_ADVANCE_INTERVAL_MS = 100;
/** Part of the storage that is asked for at most without a request that needs more, which would make the others store more. */
const MAX_ADVANCE_RATIO = 0.5;

/**
 * Asks the hubs of the other zones for the tokens that a waiting query needs, and for those that the recent use of this zone
 * suggests. Returns whether answers are on the way.
 */
export const askOtherHubs = (context: GatewayContext, row: QuotaRow, needed: number): boolean => {
    const { nowMs, quotas } = context;
    const intervalMs = needed > 0 ? MIN_INTERVAL_MS : MIN_ADVANCE_INTERVAL_MS;
    const isRecent = row.hubQuery !== undefined && nowMs - row.hubQuery.askedAtMs < intervalMs;
    if (isRecent) {
        return (row.hubQuery?.unanswered.size ?? 0) > 0;
    }
    const hubs = listOtherQuotaHubs(context);
    if (hubs.length === 0) {
        return false;
    }
    const missing = Math.max(needed - countPooled(row), 0);
    const wished = Math.min((missing + readRecentUse(row.zoneUse, nowMs)) / hubs.length, row.bounds.storage * MAX_ADVANCE_RATIO);
    // Any one of them may have to do, if the others have none.
    const perHub = Math.ceil(Math.max(wished, needed));
    quotas.sequence += 1;
    row.hubQuery = { sequence: quotas.sequence, askedAtMs: nowMs, unanswered: new Set(hubs) };
    for (const to of hubs) {
        context.commands.push({ kind: "askQuota", to, sequence: quotas.sequence, wants: [[row.workspace, 0, perHub]] });
    }
    return true;
};
