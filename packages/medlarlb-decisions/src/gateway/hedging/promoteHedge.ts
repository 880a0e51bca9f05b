import { releaseAttempt } from "../calls/releaseAttempt.js";
import type { GatewayContext } from "../gatewayContext.js";
import type { CallRow } from "../rows/callRow.js";

/** Makes the second attempt of a call its only one, because the first has lost or failed. */
export const promoteHedge = (context: GatewayContext, row: CallRow): void => {
    const { currentAttempt: first, hedge } = row;
    row.currentAttempt = hedge;
    row.hedge = undefined;
    if (first !== undefined) {
        releaseAttempt(context, row, first);
    }
};
