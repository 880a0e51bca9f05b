import type { GatewayContext } from "../gatewayContext.js";
import { countPooled } from "./countPooled.js";
import type { QuotaRow } from "./quotaRow.js";
import { readRecentUse } from "./readRecentUse.js";
import { takePooled } from "./takePooled.js";

/** Part of the tokens beyond those needed that an instance may get in advance, so that others find some, too. */
const ADVANCE_RATIO = 0.5;

/** Takes what this hub grants of a quota: what is needed and part of what is wished, or undefined if it has less than is needed. */
export const grantWant = (context: GatewayContext, row: QuotaRow, needed: number, wished: number): number | undefined => {
    const pooled = countPooled(row);
    if (pooled < needed) {
        return undefined;
    }
    const advance = Math.floor(Math.min(Math.max(0, wished - needed), (pooled - needed) * ADVANCE_RATIO));
    const tokens = needed + advance;
    takePooled(row, tokens);
    readRecentUse(row.zoneUse, context.nowMs);
    row.zoneUse.tokens += tokens;
    return tokens;
};
