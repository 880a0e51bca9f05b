import type { GatewayContext } from "../gatewayContext.js";
import { markTargetPools } from "../pools/markTargetPools.js";
import type { CallAttempt } from "../rows/callAttempt.js";
import type { CallRow } from "../rows/callRow.js";

/** Longest time in ms until an engine frees the copy of a run that has ended. */
const COPY_RELEASE_MS = 100;

/** No longer counts an attempt as load on its target, and neither its copy soon. */
export const releaseAttempt = (context: GatewayContext, { metadata: { callId } }: CallRow, attempt: CallAttempt): void => {
    const copyTarget = attempt.copyTargetId === undefined ? undefined : context.targets.get(attempt.copyTargetId);
    if (copyTarget?.memory.copies.delete(callId) === true) {
        copyTarget.memory.abandoned.push({ tokens: attempt.contextTokens, untilMs: context.nowMs + COPY_RELEASE_MS });
    }
    const target = context.targets.get(attempt.targetId);
    target?.memory.copies.delete(callId);
    if (target?.activeAttempts.delete(callId) === true) {
        target.pendingTokens -= attempt.answerStartedAtMs === undefined ? attempt.uncachedTokens : 0;
        markTargetPools(context, target);
    }
};
