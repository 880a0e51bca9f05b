import type { GatewayContext } from "../gatewayContext.js";
import { countPooled } from "./countPooled.js";
import { lentShare } from "./lentShare.js";
import type { QuotaRow } from "./quotaRow.js";
import { readRecentUse } from "./readRecentUse.js";
import { takePooled } from "./takePooled.js";

/** Part of its bound that a pool keeps from being granted in advance. Tokens that an instance doesn't use are lost. */
const KEPT_RATIO = 0.5;

/** Takes what this hub grants of a quota: what is needed and part of what is wished, or undefined if it has less than is needed. */
export const grantWant = (context: GatewayContext, row: QuotaRow, needed: number, wished: number): number | undefined => {
    const pooled = countPooled(row);
    if (pooled < needed) {
        return undefined;
    }
    const spare = row.pool - needed - row.bounds.storage * lentShare(context) * KEPT_RATIO;
    const tokens = needed + Math.max(0, Math.floor(Math.min(wished - needed, spare)));
    takePooled(row, tokens);
    readRecentUse(row.zoneUse, context.nowMs);
    row.zoneUse.tokens += tokens;
    return tokens;
};
