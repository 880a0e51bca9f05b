import type { GatewayContext } from "../gatewayContext.js";
import type { CallAttempt } from "../rows/callAttempt.js";

/** Longest time in ms until an engine has noticed that a request was abandoned, and has freed its memory. */
const RELEASE_MS = 500;

/** Counts the memory of an attempt that this instance abandons as held until its engines have noticed. */
export const holdAbandoned = (context: GatewayContext, attempt: CallAttempt): void => {
    if (attempt.model === undefined || context.settings.engineMemoryRatio <= 0) {
        return;
    }
    for (const targetId of [attempt.targetId, attempt.copyTargetId]) {
        const target = targetId === undefined ? undefined : context.targets.get(targetId);
        target?.memory.abandoned.push({ tokens: attempt.contextTokens, untilMs: context.nowMs + RELEASE_MS });
    }
};
