import { releaseAttempt } from "../calls/releaseAttempt.js";
import type { GatewayContext } from "../gatewayContext.js";
import type { CallRow } from "../rows/callRow.js";

/** Ends the second attempt of a call, if there is one, and no longer counts it as load on its target. */
export const endHedge = (context: GatewayContext, row: CallRow): void => {
    const { hedge } = row;
    if (hedge !== undefined) {
        row.hedge = undefined;
        releaseAttempt(context, row, hedge);
    }
};
