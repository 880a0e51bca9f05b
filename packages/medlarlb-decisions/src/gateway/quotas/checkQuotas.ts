import type { GatewayContext } from "../gatewayContext.js";
import { answerOpenWants } from "./answerOpenWants.js";
import { askHub } from "./askHub.js";
import { QUERY_TIMEOUT_MS } from "./queryTimeoutMs.js";
import { quotaCost } from "./quotaCost.js";
import type { QuotaRow } from "./quotaRow.js";
import { refillPool } from "./refillPool.js";
import { refuseOverQuota } from "./refuseOverQuota.js";
import { silentHubWaitMs } from "./silentHubWaitMs.js";

/** Most rounds of asking this instance itself in a step. Each serves a request at least. */
const MAX_ROUNDS = 64;
/** Time in ms after which a request may come back that the hub didn't answer in time: about until another hub is chosen. */
const NO_ANSWER_RETRY_MS = 300;

/** Returns the time from which a query without an answer is sent again. */
const queryEndMs = ({ query }: QuotaRow): number =>
    (query === undefined ? Number.POSITIVE_INFINITY : query.askedAtMs + QUERY_TIMEOUT_MS);

/** Extends the waits of requests since whose arrival the hub hasn't answered: whether their quota allows them isn't known. */
const extendWaits = ({ nowMs }: GatewayContext, row: QuotaRow): void => {
    for (const each of row.waiting) {
        const { metadata } = each.call;
        const isUnanswered = row.query !== undefined && row.query.firstAskedAtMs <= each.sinceMs;
        if (nowMs >= each.untilMs && isUnanswered) {
            each.untilMs = Math.max(each.untilMs, metadata.arrivedAtMs + silentHubWaitMs(metadata));
        }
    }
};

/** Refuses requests that have waited too long, asks again for the others, and answers queries that have waited for other hubs. */
const endWaits = (context: GatewayContext, row: QuotaRow): void => {
    const { nowMs } = context;
    if (row.openWants.some(each => nowMs >= each.untilMs)) {
        refillPool(context, row);
        answerOpenWants(context, row);
    }
    extendWaits(context, row);
    const late = row.waiting.filter(each => nowMs >= each.untilMs);
    row.waiting = row.waiting.filter(each => nowMs < each.untilMs);
    for (const { call } of late) {
        if (context.calls.get(call.metadata.callId) === call) {
            const retryInMs = Math.max(row.allowedAtMs - nowMs, NO_ANSWER_RETRY_MS);
            refuseOverQuota(context, row, call, quotaCost(call.metadata, row.quota), retryInMs);
        }
    }
    if (row.waiting.length > 0 && nowMs >= queryEndMs(row)) {
        context.quotas.toAsk.add(row);
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
        for (const row of quotas.rows.values()) {
            const endsMs = [...row.waiting, ...row.openWants].map(each => each.untilMs);
            const askAgainMs = row.waiting.length > 0 ? queryEndMs(row) : Number.POSITIVE_INFINITY;
            quotas.nextCheckMs = Math.min(quotas.nextCheckMs, askAgainMs, ...endsMs);
        }
    }
};
