import type { CallRow } from "../rows/callRow.js";
import type { GatewayContext } from "../gatewayContext.js";
import { crashRefusal } from "../crashes/crashRefusal.js";
import { endRetryWait } from "../retries/endRetryWait.js";
import { mayContinueStream } from "../streams/mayContinueStream.js";
import { takeRetryToken } from "../retries/takeRetryToken.js";
import { endCurrentAttempt } from "./endCurrentAttempt.js";
import { isUsable } from "./isUsable.js";
import { logEvent } from "./logEvent.js";
import { predictLatency } from "./predictLatency.js";
import { sendCall } from "./sendCall.js";

/**
 * Resumes a stream whose engine is lost on the engine that holds a copy of its state. It stays the same run, so that
 * requests that may run only once are resumed, too. Returns whether the stream resumes.
 */
export const resumeCall = (context: GatewayContext, row: CallRow, reason: string): boolean => {
    const copyTargetId = row.currentAttempt?.copyTargetId;
    const target = copyTargetId === undefined ? undefined : context.targets.get(copyTargetId);
    const isRefused = crashRefusal(context, row) !== undefined;
    if (isRefused || !row.delivered || target === undefined || !isUsable(target, context.nowMs) || !mayContinueStream(row, target)) {
        return false;
    }
    if (!takeRetryToken(context, row.metadata.service)) {
        return false;
    }
    endRetryWait(context, row.metadata.service);
    logEvent(context, "continued", {
        request: row.metadata.callerRequestId,
        from: row.currentAttempt?.targetId,
        target: copyTargetId,
        softwareVersion: target.entry.softwareVersion,
        reason,
    });
    endCurrentAttempt(context, row);
    row.mayHaveRun = true;
    sendCall(context, row, target, predictLatency(context, target, row), "fromCopy");
    return true;
};
