import type { GatewayInput } from "../gatewayInput.js";
import type { GatewayContext } from "../gatewayContext.js";

/** Records that a further part of an answer has arrived. */
export const applyProgress = (context: GatewayContext, input: Extract<GatewayInput, { kind: "progress" }>): void => {
    const attempt = context.calls.get(input.callId)?.currentAttempt;
    if (attempt === undefined || attempt.attempt !== input.attempt) {
        return;
    }
    if (attempt.answerStartedAtMs !== undefined) {
        attempt.longestGapMs = Math.max(attempt.longestGapMs, context.nowMs - attempt.lastChunkAtMs);
    }
    attempt.lastChunkAtMs = context.nowMs;
    const target = context.targets.get(attempt.targetId);
    if (target !== undefined) {
        target.lastSeenAtMs = context.nowMs;
    }
};
