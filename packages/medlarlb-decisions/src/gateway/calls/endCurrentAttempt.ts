import type { CallRow } from "../rows/callRow.js";
import type { GatewayContext } from "../gatewayContext.js";

/** Ends the current attempt of a call and no longer counts it as load on its target. */
export const endCurrentAttempt = (context: GatewayContext, row: CallRow): void => {
    if (row.currentAttempt !== undefined) {
        context.targets.get(row.currentAttempt.targetId)?.activeAttempts.delete(row.metadata.callId);
        row.currentAttempt = undefined;
    }
};
