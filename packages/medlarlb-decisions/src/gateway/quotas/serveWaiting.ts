import { queueNewCall } from "../calls/queueNewCall.js";
import type { GatewayContext } from "../gatewayContext.js";
import { quotaCost } from "./quotaCost.js";
import type { QuotaRow } from "./quotaRow.js";
import { takeHeld } from "./takeHeld.js";

/** Charges and queues the requests that wait for tokens, in the order of their arrival, as far as the held ones suffice. */
export const serveWaiting = (context: GatewayContext, row: QuotaRow): void => {
    row.waiting = row.waiting.filter(({ call }) => context.calls.get(call.metadata.callId) === call);
    for (let first = row.waiting[0]; first !== undefined; first = row.waiting[0]) {
        const charge = takeHeld(context, row, quotaCost(first.call.metadata, row.quota));
        if (charge === undefined) {
            return;
        }
        row.waiting.shift();
        first.call.charge = charge;
        queueNewCall(context, first.call);
    }
};
