import { logEvent } from "../calls/logEvent.js";
import { probeTarget } from "../crashes/probeTarget.js";
import { recordCut } from "../crashes/recordCut.js";
import { recordResponse } from "../crashes/recordResponse.js";
import { retryCall } from "../calls/retryCall.js";
import type { GatewayInput } from "../gatewayInput.js";
import type { GatewayContext } from "../gatewayContext.js";
import { setTargetModels } from "../pools/setTargetModels.js";
import { failHedgedAttempt } from "../hedging/failHedgedAttempt.js";
import type { CallAttempt } from "../rows/callAttempt.js";
import { resumeAfterCut } from "../resumption/resumeAfterCut.js";
import type { PoolTarget } from "../rows/poolTarget.js";
import type { CallRow } from "../rows/callRow.js";
import { recordOutcome } from "./recordOutcome.js";

type Failed = Extract<GatewayInput, { kind: "failed" }>;

/** First backoff in ms of a target that opened no connection or sent no response. It doubles with each further failure. */
const FIRST_BACKOFF_MS = 400;
const MAX_BACKOFF_DOUBLINGS = 3;
/** Time in ms since a target's latest response up to which another attempt without a response causes no backoff. */
const RECENT_RESPONSE_MS = 150;

const recordNoResponse = (context: GatewayContext, target: PoolTarget, { cause }: Failed): void => {
    recordOutcome(context, target, true);
    if (context.nowMs - target.lastSeenAtMs > RECENT_RESPONSE_MS) {
        target.consecutiveNoResponse += 1;
        target.backoffUntilMs = context.nowMs
            + FIRST_BACKOFF_MS * 2 ** Math.min(MAX_BACKOFF_DOUBLINGS, target.consecutiveNoResponse - 1);
        logEvent(context, "targetAvoided", { target: target.entry.targetId, cause, untilInMs: target.backoffUntilMs - context.nowMs });
    }
};

const updateFailedTarget = (context: GatewayContext, row: CallRow, target: PoolTarget, input: Failed): void => {
    switch (input.cause) {
        case "otherTarget":
            target.leaving = true;
            logEvent(context, "targetState", { target: target.entry.targetId, leaving: true, source: "another target answers at its address" });
            break;
        case "notHeld":
            forgetAdapterOrModel(context, target, row);
            break;
        case "connect":
            if (target.abandonedRequests.length > 0 || target.unprovedCompletions.length > 0) {
                probeTarget(context, target);
            }
            recordNoResponse(context, target, input);
            break;
        case "silent":
            recordNoResponse(context, target, input);
            break;
        default:
            recordOutcome(context, target, true);
    }
};

const forgetAdapterOrModel = (context: GatewayContext, target: PoolTarget, row: CallRow): void => {
    const { model, adapter } = row.metadata;
    if (model === undefined) {
        return;
    }
    if (adapter !== undefined && target.models.get(model)?.has(adapter) === true) {
        target.models.get(model)?.delete(adapter);
    }
    else {
        setTargetModels(context, target, new Map([...target.models].filter(([name]) => name !== model)));
    }
};

const recordAttemptCut = (context: GatewayContext, row: CallRow, attempt: CallAttempt, target: PoolTarget | undefined): void => {
    logEvent(context, "attemptCut", {
        request: row.metadata.callerRequestId,
        fingerprint: row.metadata.fingerprint,
        sharedParts: row.metadata.promptParts.slice(0, -1).map(part => part.id),
        target: attempt.targetId,
        attempt: attempt.attempt,
        sinceSentMs: Math.round(context.nowMs - attempt.sentAtMs),
        answerStarted: attempt.answerStartedAtMs !== undefined,
        leaving: target?.leaving,
    });
    if (target !== undefined) {
        recordCut(context, row, target);
    }
};

/** Records a failed attempt on its target, and resumes, retries or ends the call unless its other attempt still runs. */
export const applyFailed = (context: GatewayContext, input: Failed): void => {
    const row = context.calls.get(input.callId);
    const attempt = [row?.currentAttempt, row?.hedge].find(each => each?.attempt === input.attempt);
    if (row === undefined || attempt === undefined) {
        return;
    }
    const target = context.targets.get(attempt.targetId);
    if (target !== undefined && input.cause === "full") {
        recordResponse(context, target, attempt.sentAtMs);
    }
    if (target !== undefined) {
        updateFailedTarget(context, row, target, input);
    }
    if (input.cause === "cut") {
        recordAttemptCut(context, row, attempt, target);
    }
    if (failHedgedAttempt(context, row, input.attempt, input.ran)) {
        return;
    }
    if (input.cause === "cut" && resumeAfterCut(context, row, input)) {
        return;
    }
    retryCall(context, row, input);
};
