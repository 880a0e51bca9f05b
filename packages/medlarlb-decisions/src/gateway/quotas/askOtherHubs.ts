import type { GatewayContext } from "../gatewayContext.js";
import { centralHub } from "./centralHub.js";
import { countPooled } from "./countPooled.js";
import { MAX_ADVANCE_RATIO } from "./maxAdvanceRatio.js";
import { lentShare } from "./lentShare.js";
import { listOtherQuotaHubs } from "./listOtherQuotaHubs.js";
import type { QuotaRow } from "./quotaRow.js";
import { readRecentUse } from "./readRecentUse.js";

/** Shortest time in ms between two queries of a hub to the others about one quota: a few round trips. */
const MIN_INTERVAL_MS = 40;
const MIN_ADVANCE_INTERVAL_MS = 100;
/** Number of requests that the others' answers have to suffice for so that they are asked again at once: they have plenty. */
const PLENTY_REQUESTS = 4;
/** Part of the storage that is asked for at least, so that a zone in which callers have just arrived gets enough. */
const MIN_ADVANCE_RATIO = 0.2;
/** Time in ms whose accrual a zone has itself; the recent use is about that of as long a time. */
const OWN_ACCRUAL_MS = 300;
const MS_PER_SECOND = 1_000;

const mayAsk = ({ nowMs }: GatewayContext, { hubQuery }: QuotaRow, needed: number): boolean => {
    if (hubQuery === undefined) {
        return true;
    }
    const hadPlenty = needed > 0 && hubQuery.unanswered.size === 0 && hubQuery.gained >= PLENTY_REQUESTS * needed;
    return hadPlenty || nowMs - hubQuery.askedAtMs >= (needed > 0 ? MIN_INTERVAL_MS : MIN_ADVANCE_INTERVAL_MS);
};

/** Returns how many tokens this zone lacks for a query and, if its use goes on as recently, for the near future. */
const countMissing = (context: GatewayContext, row: QuotaRow, needed: number): number => {
    const { storage, perSecond } = row.bounds;
    const ownAccrual = perSecond * lentShare(context) * OWN_ACCRUAL_MS / MS_PER_SECOND;
    const expected = Math.max(0, readRecentUse(row.zoneUse, context.nowMs) - ownAccrual);
    return Math.max(storage * MIN_ADVANCE_RATIO, needed + expected - countPooled(row));
};

/**
 * Asks the hubs of the other zones for the tokens that a waiting query needs, and for those that the recent use of this zone
 * suggests. Returns whether answers are on the way.
 */
export const askOtherHubs = (context: GatewayContext, row: QuotaRow, needed: number): boolean => {
    const { nowMs, quotas } = context;
    if (!mayAsk(context, row, needed)) {
        return (row.hubQuery?.unanswered.size ?? 0) > 0;
    }
    const central = centralHub(context, row);
    const isFollower = central !== undefined && central !== context.settings.instanceId;
    const hubs = isFollower ? [central] : listOtherQuotaHubs(context);
    if (hubs.length === 0 || (isFollower && needed === 0)) {
        return false;
    }
    const wished = Math.min(countMissing(context, row, needed) / hubs.length, row.bounds.storage * MAX_ADVANCE_RATIO);
    // Any one of them may have to do, if the others have none.
    const perHub = Math.ceil(Math.max(wished, needed));
    quotas.sequence += 1;
    row.hubQuery = { sequence: quotas.sequence, askedAtMs: nowMs, unanswered: new Set(hubs), gained: 0 };
    for (const to of hubs) {
        context.commands.push({ kind: "askQuota", to, sequence: quotas.sequence, wants: [[row.workspace, isFollower ? needed : 0, perHub]] });
    }
    return true;
};
