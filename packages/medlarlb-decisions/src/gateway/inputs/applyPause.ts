import { logEvent } from "../calls/logEvent.js";
import type { GatewayContext } from "../gatewayContext.js";
import type { GatewayInput } from "../gatewayInput.js";

/** Longest pause in ms that a target gets, in case it names a time by mistake. */
const MAX_PAUSE_MS = 600_000;

/** Keeps this instance's requests from a target that has asked for a pause. An earlier, longer pause goes on. */
export const applyPause = (context: GatewayContext, { targetId, pauseMs }: Extract<GatewayInput, { kind: "pause" }>): void => {
    const target = context.targets.get(targetId);
    const untilMs = context.nowMs + Math.min(MAX_PAUSE_MS, pauseMs);
    if (target !== undefined && untilMs > target.pausedUntilMs) {
        target.pausedUntilMs = untilMs;
        logEvent(context, "targetPaused", { target: targetId, untilInMs: Math.round(untilMs - context.nowMs), askedMs: Math.round(pauseMs) });
    }
};
