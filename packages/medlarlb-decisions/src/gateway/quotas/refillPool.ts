import type { GatewayContext } from "../gatewayContext.js";
import { poolBound } from "./poolBound.js";
import type { QuotaRow } from "./quotaRow.js";

const MS_PER_SECOND = 1_000;

/** Adds what has been lent to this hub to the pool of a quota, and drops what exceeds its bound and what has expired. */
export const refillPool = (context: GatewayContext, row: QuotaRow): void => {
    const { quotas, nowMs } = context;
    const lent = (quotas.creditedMs - row.creditedMs) * row.bounds.perSecond / MS_PER_SECOND;
    row.creditedMs = quotas.creditedMs;
    row.pool = Math.min(row.pool + lent, poolBound(context, row));
    row.borrowed = row.borrowed.filter(each => nowMs < each.untilMs);
};
