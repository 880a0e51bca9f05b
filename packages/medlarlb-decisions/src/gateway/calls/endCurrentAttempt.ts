import type { GatewayContext } from "../gatewayContext.js";
import type { CallRow } from "../rows/callRow.js";
import { releaseAttempt } from "./releaseAttempt.js";

/** Ends the current attempt of a call and no longer counts it as load on its target. */
export const endCurrentAttempt = (context: GatewayContext, row: CallRow): void => {
    const { currentAttempt: attempt } = row;
    if (attempt !== undefined) {
        row.currentAttempt = undefined;
        releaseAttempt(context, row, attempt);
    }
};
