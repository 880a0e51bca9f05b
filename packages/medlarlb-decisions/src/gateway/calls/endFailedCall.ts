import type { RequestId } from "medlarlb-types/requestId";
import type { GatewayContext } from "../gatewayContext.js";
import { logEvent } from "./logEvent.js";
import { logItemFailed } from "./logItemFailed.js";
import { removeCall } from "./removeCall.js";

const REASON = "an error inside this instance ended the request";

/**
 * Ends a call because its input or command threw an error: removes what the tables hold of it, and answers it unless it
 * `isAnswered`. The row may be half changed, so that only a call without any attempt counts as not run.
 */
export const endFailedCall = (context: GatewayContext, callId: RequestId, request: string | undefined, isAnswered = false): void => {
    const row = context.calls.get(callId);
    if (row !== undefined) {
        removeCall(context, row, removal => {
            try {
                removal();
            }
            catch (err) {
                logItemFailed(context, "removal", err, { request });
            }
        });
    }
    if (!isAnswered) {
        const mayHaveRun = row !== undefined && row.attempts > 0;
        const status = mayHaveRun ? 502 : 503;
        logEvent(context, "answered", { request, status, reason: REASON, mayHaveRun, attempts: row?.attempts });
        context.commands.push({ kind: "answer", callId, status, retryAfterMs: undefined, reason: REASON });
    }
};
