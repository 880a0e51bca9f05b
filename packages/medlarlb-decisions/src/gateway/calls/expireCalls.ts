import type { CallRow } from "../rows/callRow.js";
import type { GatewayContext } from "../gatewayContext.js";
import { failCall } from "./failCall.js";
import { retryCall } from "./retryCall.js";

/** Share of the time of a repeatable request after which an attempt without any answer is given up. */
const FIRST_EVENT_TIMEOUT_RATIO = 0.4;
/** Shortest time in ms that an attempt is given to answer. */
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

/** Ends calls whose time is over, and tries repeatable ones elsewhere whose target says nothing. */
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
