import type { GatewayContext } from "../gatewayContext.js";
import { markTargetPools } from "../pools/markTargetPools.js";
import type { CallRow } from "../rows/callRow.js";

/** Longest time in ms until an engine frees the copy of a run that has ended. */
const COPY_RELEASE_MS = 100;

/** Ends the current attempt of a call and no longer counts it as load on its target. */
export const endCurrentAttempt = (context: GatewayContext, row: CallRow): void => {
    const { currentAttempt: attempt } = row;
    if (attempt === undefined) {
        return;
    }
    row.currentAttempt = undefined;
    const copyTarget = attempt.copyTargetId === undefined ? undefined : context.targets.get(attempt.copyTargetId);
    if (copyTarget?.memory.copies.delete(row.metadata.callId) === true) {
        copyTarget.memory.abandoned.push({ tokens: attempt.contextTokens, untilMs: context.nowMs + COPY_RELEASE_MS });
    }
    const target = context.targets.get(attempt.targetId);
    target?.memory.copies.delete(row.metadata.callId);
    if (target?.activeAttempts.delete(row.metadata.callId) === true) {
        target.pendingTokens -= attempt.answerStartedAtMs === undefined ? attempt.uncachedTokens : 0;
        markTargetPools(context, target);
    }
};
