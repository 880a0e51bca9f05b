import { dequeueCall } from "../calls/dequeueCall.js";
import { enqueueCall } from "../calls/enqueueCall.js";
import type { GatewayContext } from "../gatewayContext.js";
import type { CallRow } from "../rows/callRow.js";

/** Has a call wait for the service that began its stream, if its route has drawn another one. It is routed in the next step. */
export const moveToService = (context: GatewayContext, row: CallRow, service: string): void => {
    dequeueCall(context, row);
    row.metadata = { ...row.metadata, service };
    enqueueCall(context, row);
    if (row.pool !== undefined) {
        row.pool.nextCheckAtMs = context.nowMs;
        context.nextPoolCheckMs = context.nowMs;
    }
};
