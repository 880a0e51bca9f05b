import type { GatewayContext } from "../gatewayContext.js";
import { markTargetPools } from "../pools/markTargetPools.js";
import type { CallAttempt } from "../rows/callAttempt.js";
import type { CallRow } from "../rows/callRow.js";

/** No longer counts an attempt as load on its target. */
export const releaseAttempt = (context: GatewayContext, row: CallRow, attempt: CallAttempt): void => {
    const target = context.targets.get(attempt.targetId);
    if (target?.activeAttempts.delete(row.metadata.callId) === true) {
        target.pendingTokens -= attempt.answerStartedAtMs === undefined ? attempt.uncachedTokens : 0;
        markTargetPools(context, target);
    }
};
