import type { CallRow } from "../rows/callRow.js";
import type { GatewayContext } from "../gatewayContext.js";
import { failCall } from "./failCall.js";
import { retryCall } from "./retryCall.js";

/** Share of the time of a repeatable request after which an attempt without any answer is given up. */
const SILENT_SHARE = 0.4;
/** Shortest time in ms that an attempt is given to answer. */
const SILENT_MIN_MS = 250;

const isSilent = (context: GatewayContext, row: CallRow): boolean => {
    const { currentAttempt: attempt, metadata } = row;
    const repeatable = metadata.route.kind === "safe" || metadata.route.resumable;
    if (
        attempt === undefined || attempt.answerStartedAtMs !== undefined
        || !repeatable || row.possibleRuns + 1 >= metadata.route.maxAttempts
    ) {
        return false;
    }
    const limitMs = Math.max(SILENT_MIN_MS, SILENT_SHARE * (metadata.deadlineAtMs - metadata.arrivedAtMs), attempt.predictedMs * 3);
    return context.nowMs - attempt.sentAtMs > limitMs;
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
        else if (isSilent(context, row)) {
            const attempt = row.currentAttempt?.attempt ?? 0;
            context.commands.push({ kind: "abort", callId: row.metadata.callId, attempt });
            retryCall(context, row, { ran: "unknown", cause: "silent", reason: "no answer came in time" });
        }
    }
};
