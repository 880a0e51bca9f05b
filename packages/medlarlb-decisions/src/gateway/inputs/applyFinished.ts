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
    const { metadata: facts, currentAttempt: flight } = row;
    const target = context.targets.get(flight.targetId);
    if (target !== undefined) {
        target.lastSeenAtMs = context.nowMs;
        noteOutcome(context, target, input.status >= 500);
        if (facts.model === undefined && input.status < 500) {
            learnServicePace(context, target, context.nowMs - flight.sentAtMs);
        }
    }
    const begunAtMs = flight.begunAtMs ?? context.nowMs;
    const pausedTooLong = flight.longestPauseMs > (facts.route.gapTargetMs ?? Number.POSITIVE_INFINITY);
    logEvent(context, "finished", {
        request: facts.callerRequestId,
        target: flight.targetId,
        status: input.status,
        firstMs: Math.round(begunAtMs - flight.sentAtMs),
        predictedMs: Math.round(flight.predictedMs),
        tookMs: Math.round(context.nowMs - facts.arrivedAtMs),
        pauseMs: Math.round(flight.longestPauseMs),
        late: begunAtMs > facts.latencyTargetAtMs || pausedTooLong,
    });
    removeCall(context, row);
};
