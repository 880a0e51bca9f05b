import { logEvent } from "../calls/logEvent.js";
import { MAX_RETRY_AFTER_RATIO } from "../calls/maxRetryAfterRatio.js";
import { removeCall } from "../calls/removeCall.js";
import type { GatewayContext } from "../gatewayContext.js";
import type { CallRow } from "../rows/callRow.js";
import type { QuotaRow } from "./quotaRow.js";

/** Factor by which the time until a retry is lengthened at most, at random, so that refused callers don't come back together. */
const RETRY_SPREAD = 0.5;
/** Interval in ms of the log's lines about a workspace's refused requests. */
const LOG_INTERVAL_MS = 1_000;

/** Ends a request that has not run, because its workspace's quota doesn't allow it now, or never if no time is given. */
export const refuseOverQuota = (
    context: GatewayContext,
    row: QuotaRow,
    call: CallRow,
    cost: number,
    retryInMs: number | undefined,
): void => {
    const { metadata } = call;
    const { nowMs, random, config } = context;
    const leftMs = Math.max(0, metadata.deadlineAtMs - nowMs);
    const spreadMs = retryInMs === undefined ? undefined : Math.max(0, retryInMs) * (1 + RETRY_SPREAD * random());
    const maxMs = leftMs * MAX_RETRY_AFTER_RATIO * (1 - RETRY_SPREAD * random());
    const retryAfterMs = spreadMs === undefined ? undefined : Math.min(spreadMs, maxMs);
    const reason = retryInMs === undefined
        ? "the request costs more than the quota of its workspace ever allows"
        : "over the quota of its workspace";
    if (nowMs - row.loggedAtMs >= LOG_INTERVAL_MS) {
        row.loggedAtMs = nowMs;
        logEvent(context, "quotaRefused", {
            workspace: row.workspace,
            request: metadata.callerRequestId,
            cost,
            perSecond: row.quota.perSecond,
            burst: row.quota.burst,
            retryInMs: retryInMs === undefined ? undefined : Math.round(retryInMs),
            hub: context.quotas.hub,
            configVersion: config?.version,
        });
    }
    logEvent(context, "answered", {
        request: metadata.callerRequestId,
        route: metadata.route.name,
        model: metadata.model,
        workspace: row.workspace,
        status: 429,
        reason,
        mayHaveRun: false,
        attempts: 0,
        heldMs: Math.round(nowMs - metadata.arrivedAtMs),
        leftMs: Math.round(leftMs),
        retryAfterMs: retryAfterMs === undefined ? undefined : Math.round(retryAfterMs),
        configVersion: config?.version,
    });
    context.commands.push({ kind: "answer", callId: metadata.callId, status: 429, retryAfterMs, reason });
    removeCall(context, call);
};
