import type { GatewayInput } from "../gatewayInput.js";
import type { GatewayWorld } from "../gatewayWorld.js";

/** Takes in that a further part of an answer has come. */
export const applyProgress = (world: GatewayWorld, input: Extract<GatewayInput, { kind: "progress" }>): void => {
    const flight = world.calls.get(input.callId)?.flight;
    if (flight === undefined || flight.attempt !== input.attempt) {
        return;
    }
    if (flight.begunAtMs !== undefined) {
        flight.longestPauseMs = Math.max(flight.longestPauseMs, world.nowMs - flight.heardAtMs);
    }
    flight.heardAtMs = world.nowMs;
    const target = world.targets.get(flight.targetId);
    if (target !== undefined) {
        target.lastHeardMs = world.nowMs;
    }
};
