import type { CallRow } from "../rows/callRow.js";
import type { GatewayContext } from "../gatewayContext.js";
import { endHedge } from "../hedging/endHedge.js";
import { returnCharge } from "../quotas/returnCharge.js";
import { endCurrentAttempt } from "./endCurrentAttempt.js";
import { dequeueCall } from "./dequeueCall.js";

/** Removes a call from every table. */
export const removeCall = (context: GatewayContext, row: CallRow): void => {
    endHedge(context, row);
    returnCharge(context, row);
    endCurrentAttempt(context, row);
    dequeueCall(context, row);
    context.calls.delete(row.metadata.callId);
};
