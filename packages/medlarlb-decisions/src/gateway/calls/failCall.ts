import type { AnswerEvidence } from "medlarlb-types/answerEvidence";
import type { CallRow } from "../rows/callRow.js";
import type { GatewayContext } from "../gatewayContext.js";
import { logEvent } from "./logEvent.js";
import { MAX_RETRY_AFTER_RATIO } from "./maxRetryAfterRatio.js";
import { removeCall } from "./removeCall.js";

/** Statuses that state that a request has not run. */
type NotRunStatus = 401 | 429 | 503;

/**
 * Ends a call with a final answer of this instance's own. A call that may have run gets 502 or 504, never `notRunStatus`,
 * which states that it has not run. `evidence` is that of the answer because of which it ends, for the log.
 */
export const failCall = (
    context: GatewayContext,
    row: CallRow,
    reason: string,
    retryInMs?: number,
    evidence?: AnswerEvidence,
    notRunStatus: NotRunStatus = 503,
): void => {
    const { metadata } = row;
    const isLate = context.nowMs >= metadata.deadlineAtMs;
    const possiblyRunStatus = isLate ? 504 : 502;
    const status = row.mayHaveRun ? possiblyRunStatus : notRunStatus;
    const leftMs = metadata.deadlineAtMs - context.nowMs;
    const mayRetryLater = !row.mayHaveRun && !isLate && retryInMs !== undefined;
    const retryAfterMs = mayRetryLater ? Math.max(0, Math.min(retryInMs, leftMs * MAX_RETRY_AFTER_RATIO)) : undefined;
    logEvent(context, "answered", {
        request: metadata.callerRequestId,
        fingerprint: row.attempts > 0 ? metadata.fingerprint : undefined,
        route: metadata.route.name,
        workspace: metadata.workspace?.name,
        model: metadata.model,
        status,
        reason,
        mayHaveRun: row.mayHaveRun,
        attempts: row.attempts,
        heldMs: Math.round(context.nowMs - metadata.arrivedAtMs),
        leftMs: Math.round(leftMs),
        retryAfterMs: retryAfterMs === undefined ? undefined : Math.round(retryAfterMs),
        target: row.currentAttempt?.targetId,
        resumes: metadata.resumedStream?.requestId,
        configVersion: context.config?.version,
        evidence,
    });
    context.commands.push({ kind: "answer", callId: metadata.callId, status, retryAfterMs, reason });
    removeCall(context, row);
};
