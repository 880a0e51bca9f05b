import { recordAbandoned } from "../crashes/recordAbandoned.js";
import type { GatewayContext } from "../gatewayContext.js";
import { startHedge } from "../hedging/startHedge.js";
import type { CallRow } from "../rows/callRow.js";
import { failCall } from "./failCall.js";
import { firstEventTimeoutAtMs } from "./firstEventTimeoutAtMs.js";
import { nextCallCheck } from "./nextCallCheck.js";
import { retryCall } from "./retryCall.js";
import { scheduleCallCheck } from "./scheduleCallCheck.js";

const expireCall = (context: GatewayContext, row: CallRow): void => {
    const { metadata, currentAttempt: attempt } = row;
    if (attempt === undefined && context.nowMs >= row.nextEventDeadlineAtMs) {
        failCall(context, row, "no target took it in time");
    }
    else if (context.nowMs >= metadata.deadlineAtMs) {
        row.mayHaveRun ||= attempt !== undefined;
        recordAbandoned(context, row);
        for (const each of [attempt, row.hedge].filter(running => running !== undefined)) {
            context.commands.push({ kind: "abort", callId: metadata.callId, attempt: each.attempt });
        }
        failCall(context, row, "the time of the request is over");
    }
    else if (attempt !== undefined && context.nowMs >= firstEventTimeoutAtMs(row)) {
        context.commands.push({ kind: "abort", callId: metadata.callId, attempt: attempt.attempt });
        recordAbandoned(context, row);
        retryCall(context, row, { ran: "unknown", cause: "silent", reason: "no answer came in time" });
    }
    else if (context.nowMs >= row.hedgeAtMs) {
        startHedge(context, row);
        scheduleCallCheck(context, row);
    }
    else {
        scheduleCallCheck(context, row);
    }
};

/**
 * Ends calls whose deadline has passed, sends second attempts of slow ones, and retries repeatable calls whose target exceeds the
 * first-event time-out.
 */
export const expireCalls = (context: GatewayContext): void => {
    for (let next = nextCallCheck(context); next !== undefined && next.atMs <= context.nowMs; next = nextCallCheck(context)) {
        context.callChecks.pop();
        expireCall(context, next.row);
    }
};
