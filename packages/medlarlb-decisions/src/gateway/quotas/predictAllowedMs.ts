import type { GatewayContext } from "../gatewayContext.js";
import { countPooled } from "./countPooled.js";
import { lentShare } from "./lentShare.js";
import type { QuotaRow } from "./quotaRow.js";
import { readRecentUse } from "./readRecentUse.js";

const MS_PER_SECOND = 1_000;
/** Time in ms over which the recent use fades, and thus about the time that it covers. */
const RECENT_MS = 300;
/** Longest time in ms that is predicted, also without any share. Shares may change by then. */
const MAX_PREDICTED_MS = 30_000;
/** Time in ms of accrual that refused requests count for at most. Not all of them come back. */
const MAX_REFUSED_MS = 500;

/**
 * Returns the time in ms until a quota allows a request that is refused now, if the requests that were refused shortly before it
 * come back first. The rate is that at which this zone's tokens accrue, and at which it has got tokens from other zones.
 */
export const predictAllowedMs = (context: GatewayContext, row: QuotaRow, needed: number): number => {
    const { refused, bounds } = row;
    const { nowMs } = context;
    const quotaPerMs = bounds.perSecond / MS_PER_SECOND;
    const perMs = Math.min(quotaPerMs, quotaPerMs * lentShare(context) + readRecentUse(row.gained, nowMs) / RECENT_MS);
    refused.tokens = Math.max(0, refused.tokens - (nowMs - refused.atMs) * perMs);
    refused.atMs = nowMs;
    const missing = Math.max(0, needed + refused.tokens - countPooled(row));
    refused.tokens = Math.min(refused.tokens + needed, MAX_REFUSED_MS * perMs);
    return perMs > 0 ? Math.ceil(Math.min(MAX_PREDICTED_MS, missing / perMs)) : MAX_PREDICTED_MS;
};
