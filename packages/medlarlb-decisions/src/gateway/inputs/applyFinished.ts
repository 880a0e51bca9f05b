import { removeCall } from "../calls/removeCall.js";
import { logEvent } from "../calls/logEvent.js";
import type { GatewayInput } from "../gatewayInput.js";
import { servicePaceMs } from "../calls/servicePaceMs.js";
import type { GatewayContext } from "../gatewayContext.js";
import type { PoolTarget } from "../rows/poolTarget.js";
import { noteOutcome } from "./noteOutcome.js";

/** Weight of the newest answer of a plain service in its learnt time. */
const NEWEST_SHARE = 0.05;

const learnServicePace = (context: GatewayContext, target: PoolTarget, tookMs: number): void => {
    const { service } = target.entry;
    const paceMs = servicePaceMs(context, target);
    target.msPerUnit = paceMs + NEWEST_SHARE * (tookMs - paceMs);
    target.paceAtMs = context.nowMs;
    const shared = context.serviceMsPerUnit.get(service) ?? target.msPerUnit;
    context.serviceMsPerUnit.set(service, shared + NEWEST_SHARE * (tookMs - shared));
};

/** Takes in that a caller has its whole answer. */
export const applyFinished = (context: GatewayContext, input: Extract<GatewayInput, { kind: "finished" }>): void => {
    const row = context.calls.get(input.callId);
    if (row === undefined || row.currentAttempt === undefined || row.currentAttempt.attempt !== input.attempt) {
        return;
    }
    const { metadata, currentAttempt: attempt } = row;
    const target = context.targets.get(attempt.targetId);
    if (target !== undefined) {
        target.lastSeenAtMs = context.nowMs;
        noteOutcome(context, target, input.status >= 500);
        if (metadata.model === undefined && input.status < 500) {
            learnServicePace(context, target, context.nowMs - attempt.sentAtMs);
        }
    }
    const begunAtMs = attempt.begunAtMs ?? context.nowMs;
    const pausedTooLong = attempt.longestPauseMs > (metadata.route.gapTargetMs ?? Number.POSITIVE_INFINITY);
    logEvent(context, "finished", {
        request: metadata.callerRequestId,
        target: attempt.targetId,
        status: input.status,
        firstMs: Math.round(begunAtMs - attempt.sentAtMs),
        predictedMs: Math.round(attempt.predictedMs),
        tookMs: Math.round(context.nowMs - metadata.arrivedAtMs),
        pauseMs: Math.round(attempt.longestPauseMs),
        late: begunAtMs > metadata.latencyTargetAtMs || pausedTooLong,
    });
    removeCall(context, row);
};
