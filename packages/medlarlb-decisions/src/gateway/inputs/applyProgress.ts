import type { GatewayInput } from "../gatewayInput.js";
import type { GatewayContext } from "../gatewayContext.js";

/** Takes in that a further part of an answer has come. */
export const applyProgress = (context: GatewayContext, input: Extract<GatewayInput, { kind: "progress" }>): void => {
    const flight = context.calls.get(input.callId)?.currentAttempt;
    if (flight === undefined || flight.attempt !== input.attempt) {
        return;
    }
    if (flight.begunAtMs !== undefined) {
        flight.longestPauseMs = Math.max(flight.longestPauseMs, context.nowMs - flight.heardAtMs);
    }
    flight.heardAtMs = context.nowMs;
    const target = context.targets.get(flight.targetId);
    if (target !== undefined) {
        target.lastSeenAtMs = context.nowMs;
    }
};
