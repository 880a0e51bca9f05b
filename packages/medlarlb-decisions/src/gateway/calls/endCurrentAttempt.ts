import type { CallRow } from "../rows/callRow.js";
import type { GatewayContext } from "../gatewayContext.js";

/** Ends the present attempt of a call and gives back what it held on its target. */
export const endCurrentAttempt = (context: GatewayContext, row: CallRow): void => {
    if (row.currentAttempt !== undefined) {
        context.targets.get(row.currentAttempt.targetId)?.activeAttempts.delete(row.metadata.callId);
        row.currentAttempt = undefined;
    }
};
