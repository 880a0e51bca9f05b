import type { GatewayContext } from "../gatewayContext.js";
import { markTargetPools } from "../pools/markTargetPools.js";
import type { CallRow } from "../rows/callRow.js";

/** Ends the current attempt of a call and no longer counts it as load on its target. */
export const endCurrentAttempt = (context: GatewayContext, row: CallRow): void => {
    const { currentAttempt: attempt } = row;
    if (attempt === undefined) {
        return;
    }
    row.currentAttempt = undefined;
    const target = context.targets.get(attempt.targetId);
    if (target?.activeAttempts.delete(row.metadata.callId) === true) {
        target.pendingTokens -= attempt.answerStartedAtMs === undefined ? attempt.uncachedTokens : 0;
        markTargetPools(context, target);
    }
};
