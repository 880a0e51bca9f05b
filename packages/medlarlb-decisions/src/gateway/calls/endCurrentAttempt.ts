import type { CallRow } from "../rows/callRow.js";
import type { GatewayContext } from "../gatewayContext.js";

/** Ends the present attempt of a call and gives back what it held on its target. */
export const endCurrentAttempt = (world: GatewayContext, row: CallRow): void => {
    if (row.currentAttempt !== undefined) {
        world.targets.get(row.currentAttempt.targetId)?.activeAttempts.delete(row.metadata.callId);
        row.currentAttempt = undefined;
    }
};
