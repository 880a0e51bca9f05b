import type { CallRow } from "../rows/callRow.js";
import type { GatewayContext } from "../gatewayContext.js";
import { endCurrentAttempt } from "./endCurrentAttempt.js";
import { dequeueCall } from "./dequeueCall.js";

/** Removes a call from every table. */
export const removeCall = (world: GatewayContext, row: CallRow): void => {
    endCurrentAttempt(world, row);
    dequeueCall(world, row);
    world.calls.delete(row.metadata.callId);
};
