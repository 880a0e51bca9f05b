import type { CallRow } from "../rows/callRow.js";
import type { GatewayContext } from "../gatewayContext.js";
import { failCall } from "./failCall.js";
import { retryCall } from "./retryCall.js";

/** First-event time-out of an attempt, as a share of the total time of a repeatable request. */
const FIRST_EVENT_TIMEOUT_RATIO = 0.4;
/** Minimum first-event time-out of an attempt, in ms. */
const MIN_FIRST_EVENT_TIMEOUT_MS = 250;

const hasTimedOut = (context: GatewayContext, row: CallRow): boolean => {
    const { currentAttempt: attempt, metadata } = row;
    const isRepeatable = metadata.route.kind === "safe" || metadata.route.resumable;
    if (
        attempt === undefined || attempt.answerStartedAtMs !== undefined
        || !isRepeatable || row.possibleRuns + 1 >= metadata.route.maxAttempts
    ) {
        return false;
    }
    const timeoutMs = Math.max(
        MIN_FIRST_EVENT_TIMEOUT_MS,
        FIRST_EVENT_TIMEOUT_RATIO * (metadata.deadlineAtMs - metadata.arrivedAtMs),
        attempt.predictedMs * 3,
    );
    return context.nowMs - attempt.sentAtMs > timeoutMs;
};

/** Ends calls whose deadline has passed, and retries repeatable calls whose target exceeds the first-event time-out. */
export const expireCalls = (context: GatewayContext): void => {
    for (const row of [...context.calls.values()]) {
        if (row.currentAttempt === undefined && context.nowMs >= row.metadata.firstEventDeadlineAtMs) {
            failCall(context, row, "no target took it in time");
        }
        else if (context.nowMs >= row.metadata.deadlineAtMs) {
            row.mayHaveRun ||= row.currentAttempt !== undefined;
            if (row.currentAttempt !== undefined) {
                context.commands.push({ kind: "abort", callId: row.metadata.callId, attempt: row.currentAttempt.attempt });
            }
            failCall(context, row, "the time of the request is over");
        }
        else if (hasTimedOut(context, row)) {
            const attempt = row.currentAttempt?.attempt ?? 0;
            context.commands.push({ kind: "abort", callId: row.metadata.callId, attempt });
            retryCall(context, row, { ran: "unknown", cause: "silent", reason: "no answer came in time" });
        }
    }
};
