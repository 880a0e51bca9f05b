import { queueNewCall } from "../calls/queueNewCall.js";
import type { GatewayContext } from "../gatewayContext.js";
import type { CallRow } from "../rows/callRow.js";
import { findQuotaRow } from "./findQuotaRow.js";
import { noteCost } from "./noteCost.js";
import { quotaCost } from "./quotaCost.js";
import { readRecentUse } from "./readRecentUse.js";
import { refuseOverQuota } from "./refuseOverQuota.js";
import { takeHeld } from "./takeHeld.js";

/** Longest time in ms that a request waits for a grant of a hub that answers. */
const MAX_GRANT_WAIT_MS = 40;

/**
 * Queues a caller's request if its workspace has no quota or this instance holds enough tokens for it. Otherwise it waits until
 * the hub has answered, or is refused at once if the hub has just said that the quota is used up.
 */
export const admitCall = (context: GatewayContext, call: CallRow): void => {
    const { workspace } = call.metadata;
    const row = workspace === undefined ? undefined : findQuotaRow(context, workspace.name);
    if (row === undefined) {
        queueNewCall(context, call);
        return;
    }
    const { nowMs, quotas } = context;
    const cost = quotaCost(call.metadata, row.quota);
    if (cost > row.bounds.maxCost) {
        refuseOverQuota(context, row, call, cost, undefined);
        return;
    }
    noteCost(context, row, cost);
    readRecentUse(row.use, nowMs);
    row.use.tokens += cost;
    call.charge = row.waiting.length > 0 ? undefined : takeHeld(context, row, cost);
    if (call.charge !== undefined) {
        queueNewCall(context, call);
        return;
    }
    if (nowMs < row.askAgainAtMs) {
        refuseOverQuota(context, row, call, cost, row.allowedAtMs - nowMs);
        return;
    }
    const untilMs = nowMs + MAX_GRANT_WAIT_MS;
    row.waiting.push({ call, sinceMs: nowMs, untilMs });
    quotas.toAsk.add(row);
    quotas.nextCheckMs = Math.min(quotas.nextCheckMs, untilMs);
};
