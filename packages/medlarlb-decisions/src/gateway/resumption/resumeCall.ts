import { endCurrentAttempt } from "../calls/endCurrentAttempt.js";
import { logEvent } from "../calls/logEvent.js";
import { predictLatency } from "../calls/predictLatency.js";
import { sendCall } from "../calls/sendCall.js";
import type { GatewayContext } from "../gatewayContext.js";
import { endRetryWait } from "../retries/endRetryWait.js";
import { takeRetryToken } from "../retries/takeRetryToken.js";
import type { CallRow } from "../rows/callRow.js";
import { findCopyTarget } from "./findCopyTarget.js";

/**
 * Resumes a stream whose run has ended on the engine that holds a copy of its state. It stays the same run, so that requests that
 * may run only once are resumed, too. Returns whether the stream resumes.
 */
export const resumeCall = (context: GatewayContext, row: CallRow, reason: string): boolean => {
    const target = findCopyTarget(context, row);
    if (target === undefined || !takeRetryToken(context, row.metadata.service)) {
        return false;
    }
    endRetryWait(context, row.metadata.service);
    logEvent(context, "continued", {
        request: row.metadata.callerRequestId,
        from: row.currentAttempt?.targetId,
        target: target.entry.targetId,
        softwareVersion: target.entry.softwareVersion,
        waitedMs: row.formerRun === undefined ? undefined : Math.round(context.nowMs - row.formerRun.cutAtMs),
        reason,
    });
    endCurrentAttempt(context, row);
    row.formerRun = undefined;
    row.mayHaveRun = true;
    sendCall(context, row, target, predictLatency(context, target, row), "fromCopy");
    return true;
};
