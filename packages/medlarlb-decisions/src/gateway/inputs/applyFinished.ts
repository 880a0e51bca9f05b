import { removeCall } from "../calls/removeCall.js";
import { logEvent } from "../calls/logEvent.js";
import type { GatewayInput } from "../gatewayInput.js";
import { servicePaceMs } from "../calls/servicePaceMs.js";
import type { GatewayContext } from "../gatewayContext.js";
import type { PoolTarget } from "../rows/poolTarget.js";
import { noteOutcome } from "./noteOutcome.js";

/** Weight of the newest answer of a plain service in its learnt time. */
const NEWEST_SHARE = 0.05;

const learnServicePace = (world: GatewayContext, target: PoolTarget, tookMs: number): void => {
    const { service } = target.entry;
    const paceMs = servicePaceMs(world, target);
    target.msPerUnit = paceMs + NEWEST_SHARE * (tookMs - paceMs);
    target.paceAtMs = world.nowMs;
    const shared = world.serviceMsPerUnit.get(service) ?? target.msPerUnit;
    world.serviceMsPerUnit.set(service, shared + NEWEST_SHARE * (tookMs - shared));
};

/** Takes in that a caller has its whole answer. */
export const applyFinished = (world: GatewayContext, input: Extract<GatewayInput, { kind: "finished" }>): void => {
    const row = world.calls.get(input.callId);
    if (row === undefined || row.currentAttempt === undefined || row.currentAttempt.attempt !== input.attempt) {
        return;
    }
    const { metadata: facts, currentAttempt: flight } = row;
    const target = world.targets.get(flight.targetId);
    if (target !== undefined) {
        target.lastSeenAtMs = world.nowMs;
        noteOutcome(world, target, input.status >= 500);
        if (facts.model === undefined && input.status < 500) {
            learnServicePace(world, target, world.nowMs - flight.sentAtMs);
        }
    }
    const begunAtMs = flight.begunAtMs ?? world.nowMs;
    const pausedTooLong = flight.longestPauseMs > (facts.route.gapTargetMs ?? Number.POSITIVE_INFINITY);
    logEvent(world, "finished", {
        request: facts.callerRequestId,
        target: flight.targetId,
        status: input.status,
        firstMs: Math.round(begunAtMs - flight.sentAtMs),
        predictedMs: Math.round(flight.predictedMs),
        tookMs: Math.round(world.nowMs - facts.arrivedAtMs),
        pauseMs: Math.round(flight.longestPauseMs),
        late: begunAtMs > facts.latencyTargetAtMs || pausedTooLong,
    });
    removeCall(world, row);
};
