import type { GatewayInput } from "../gatewayInput.js";
import type { GatewayContext } from "../gatewayContext.js";

/** Takes in that a further part of an answer has come. */
export const applyProgress = (world: GatewayContext, input: Extract<GatewayInput, { kind: "progress" }>): void => {
    const flight = world.calls.get(input.callId)?.currentAttempt;
    if (flight === undefined || flight.attempt !== input.attempt) {
        return;
    }
    if (flight.begunAtMs !== undefined) {
        flight.longestPauseMs = Math.max(flight.longestPauseMs, world.nowMs - flight.heardAtMs);
    }
    flight.heardAtMs = world.nowMs;
    const target = world.targets.get(flight.targetId);
    if (target !== undefined) {
        target.lastSeenAtMs = world.nowMs;
    }
};
