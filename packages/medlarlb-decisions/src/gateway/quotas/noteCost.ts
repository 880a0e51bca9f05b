import type { GatewayContext } from "../gatewayContext.js";
import { computeQuotaBounds } from "./computeQuotaBounds.js";
import type { QuotaRow } from "./quotaRow.js";

/** Number of windows for which storage for a large request is kept. Storage and rate change only when no window has both. */
const KEPT_WINDOWS = 2;

/** Notes the cost of a request. A hub stores more tokens, and accrues fewer, while requests exceed what the quota stores. */
export const noteCost = (context: GatewayContext, row: QuotaRow, cost: number): void => {
    const { settings, nowMs } = context;
    if (row.largestCost > 0 && nowMs >= row.largestUntilMs) {
        row.largestCost = 0;
        row.bounds = computeQuotaBounds(row.quota, settings, 0);
    }
    if (cost < row.largestCost || cost > row.bounds.maxCost) {
        return;
    }
    const bounds = computeQuotaBounds(row.quota, settings, cost);
    const usual = computeQuotaBounds(row.quota, settings, 0);
    if (bounds.storage > usual.storage || bounds.isCentral !== usual.isCentral) {
        row.largestCost = cost;
        row.largestUntilMs = nowMs + KEPT_WINDOWS * settings.quotaWindowMs;
        row.bounds = bounds;
    }
};
