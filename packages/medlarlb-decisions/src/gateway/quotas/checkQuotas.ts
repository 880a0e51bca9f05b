import type { GatewayContext } from "../gatewayContext.js";
import { answerOpenWants } from "./answerOpenWants.js";
import { askHub } from "./askHub.js";
import { quotaCost } from "./quotaCost.js";
import type { QuotaRow } from "./quotaRow.js";
import { refillPool } from "./refillPool.js";
import { refuseOverQuota } from "./refuseOverQuota.js";

/** Most rounds of asking this instance itself in a step. Each serves a request at least. */
const MAX_ROUNDS = 64;
/** Time in ms after which a request may come back that the hub didn't answer in time: about until another hub is chosen. */
const NO_ANSWER_RETRY_MS = 300;

/** Refuses requests that have waited too long, and answers queries that have waited for other hubs. */
const endWaits = (context: GatewayContext, row: QuotaRow): void => {
    const { nowMs } = context;
    if (row.openWants.some(each => nowMs >= each.untilMs)) {
        refillPool(context, row);
        answerOpenWants(context, row);
    }
    const late = row.waiting.filter(each => nowMs >= each.untilMs);
    row.waiting = row.waiting.filter(each => nowMs < each.untilMs);
    for (const { call } of late) {
        if (context.calls.get(call.metadata.callId) === call) {
            const retryInMs = Math.max(row.allowedAtMs - nowMs, NO_ANSWER_RETRY_MS);
            refuseOverQuota(context, row, call, quotaCost(call.metadata, row.quota), retryInMs);
        }
    }
};

/** Ends the waits for tokens that are over, and asks the hub for those that are needed. */
export const checkQuotas = (context: GatewayContext): void => {
    const { quotas, nowMs } = context;
    if (nowMs >= quotas.nextCheckMs) {
        quotas.rows.forEach(row => endWaits(context, row));
    }
    for (let round = 0; quotas.toAsk.size > 0 && round < MAX_ROUNDS; round += 1) {
        askHub(context);
    }
    if (nowMs >= quotas.nextCheckMs) {
        quotas.nextCheckMs = Number.POSITIVE_INFINITY;
        for (const { waiting, openWants } of quotas.rows.values()) {
            for (const { untilMs } of [...waiting, ...openWants]) {
                quotas.nextCheckMs = Math.min(quotas.nextCheckMs, untilMs);
            }
        }
    }
};
