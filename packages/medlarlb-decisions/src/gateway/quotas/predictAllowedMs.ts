import type { GatewayContext } from "../gatewayContext.js";
import { countPooled } from "./countPooled.js";
import { lentShare } from "./lentShare.js";
import type { QuotaRow } from "./quotaRow.js";

const MS_PER_SECOND = 1_000;
/** Longest time in ms that is predicted, and the time without any share. Shares may change by then. */
const MAX_PREDICTED_MS = 8_000;

/**
 * Returns the time in ms until a quota allows a request that is refused now, if the requests that were refused before it come
 * back first.
 */
export const predictAllowedMs = (context: GatewayContext, row: QuotaRow, needed: number): number => {
    const { refused, bounds } = row;
    const { nowMs } = context;
    const perMs = bounds.perSecond * lentShare(context) / MS_PER_SECOND;
    refused.tokens = Math.max(0, refused.tokens - (nowMs - refused.atMs) * perMs);
    refused.atMs = nowMs;
    const missing = Math.max(0, needed + refused.tokens - countPooled(row));
    refused.tokens = Math.min(refused.tokens + needed, MAX_PREDICTED_MS * perMs);
    return perMs > 0 ? Math.ceil(Math.min(MAX_PREDICTED_MS, missing / perMs)) : MAX_PREDICTED_MS;
};
