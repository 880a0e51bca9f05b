import type { GatewayContext } from "../gatewayContext.js";
import type { CallCheck } from "../rows/callCheck.js";

/** Returns the earliest scheduled check of an open call. The checks of ended calls before it are removed. */
export const nextCallCheck = ({ callChecks, calls }: GatewayContext): CallCheck | undefined => {
    let next = callChecks.peek();
    while (next !== undefined && calls.get(next.row.metadata.callId) !== next.row) {
        callChecks.pop();
        next = callChecks.peek();
    }
    return next;
};
