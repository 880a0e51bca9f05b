import type { GatewayContext } from "../gatewayContext.js";
import type { QuotaCharge } from "./quotaCharge.js";
import type { QuotaRow } from "./quotaRow.js";

/** Takes granted tokens for a request, and returns the charge, or undefined if there aren't enough that are still valid. */
export const takeHeld = ({ nowMs }: GatewayContext, row: QuotaRow, cost: number): QuotaCharge | undefined => {
    row.held = row.held.filter(each => nowMs < each.untilMs && each.tokens > 0);
    if (row.held.reduce((sum, each) => sum + each.tokens, 0) < cost) {
        return undefined;
    }
    let left = cost;
    let untilMs = Number.POSITIVE_INFINITY;
    for (const each of row.held) {
        const taken = Math.min(left, each.tokens);
        if (taken > 0) {
            each.tokens -= taken;
            left -= taken;
            untilMs = Math.min(untilMs, each.untilMs);
        }
    }
    return { workspace: row.workspace, tokens: cost, untilMs };
};
