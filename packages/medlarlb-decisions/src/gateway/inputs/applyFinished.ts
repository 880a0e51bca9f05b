import { expectedWorkTimeRatio } from "../capacity/expectedWorkTimeRatio.js";
import { recordContact } from "../calls/recordContact.js";
import { removeCall } from "../calls/removeCall.js";
import { logEvent } from "../calls/logEvent.js";
import { recordCompletion } from "../crashes/recordCompletion.js";
import { recordUnprovedCompletion } from "../crashes/recordUnprovedCompletion.js";
import { settleCredit } from "../fairness/settleCredit.js";
import type { GatewayInput } from "../gatewayInput.js";
import { servicePaceMs } from "../calls/servicePaceMs.js";
import type { GatewayContext } from "../gatewayContext.js";
import { isEngineService } from "../placement/isEngineService.js";
import type { PoolTarget } from "../rows/poolTarget.js";
import { recordOutcome } from "./recordOutcome.js";

/** Weight of a new sample in the moving averages of a plain service's answer time. */
const NEW_SAMPLE_WEIGHT = 0.05;

const MIN_FAILURE_STATUS = 300;

const updatePace = (context: GatewayContext, target: PoolTarget, tookMs: number): void => {
    const { service } = target.entry;
    const paceMs = servicePaceMs(context, target);
    target.msPerWorkUnit = paceMs + NEW_SAMPLE_WEIGHT * (tookMs - paceMs);
    target.msPerWorkUnitAtMs = context.nowMs;
    const averageMs = context.serviceMsPerWorkUnit.get(service) ?? target.msPerWorkUnit;
    context.serviceMsPerWorkUnit.set(service, averageMs + NEW_SAMPLE_WEIGHT * (tookMs - averageMs));
};

/** Records that a caller has received its whole answer, and removes the call. */
export const applyFinished = (context: GatewayContext, input: Extract<GatewayInput, { kind: "finished" }>): void => {
    const row = context.calls.get(input.callId);
    if (row === undefined || row.currentAttempt === undefined || row.currentAttempt.attempt !== input.attempt) {
        return;
    }
    const { metadata, currentAttempt: attempt } = row;
    const target = context.targets.get(attempt.targetId);
    if (target !== undefined) {
        recordContact(context, target, context.nowMs);
        recordOutcome(context, target, input.status >= 500);
        // The pace of an engine is in ms per token, also if a request to it names no model.
        if (metadata.model === undefined && !isEngineService(context, target.entry.service) && input.status < 500) {
            updatePace(context, target, (context.nowMs - attempt.sentAtMs) / expectedWorkTimeRatio(target, context.nowMs));
            settleCredit(context, row, context.nowMs - attempt.sentAtMs);
        }
    }
    if (input.endedWithConnection === true && target !== undefined) {
        recordUnprovedCompletion(context, target, row);
    }
    else if (input.status < MIN_FAILURE_STATUS) {
        recordCompletion(context, row.crashKeys);
    }
    const answerStartedAtMs = attempt.answerStartedAtMs ?? context.nowMs;
    const hasLongGap = input.longestGapMs > (metadata.route.gapTargetMs ?? Number.POSITIVE_INFINITY);
    logEvent(context, "finished", {
        request: metadata.callerRequestId,
        target: attempt.targetId,
        status: input.status,
        firstMs: Math.round(answerStartedAtMs - attempt.sentAtMs),
        predictedMs: Math.round(attempt.predictedMs),
        tookMs: Math.round(context.nowMs - metadata.arrivedAtMs),
        pauseMs: Math.round(input.longestGapMs),
        late: answerStartedAtMs > metadata.latencyTargetAtMs || hasLongGap,
    });
    removeCall(context, row);
};
