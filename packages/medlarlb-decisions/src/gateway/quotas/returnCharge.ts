import type { GatewayContext } from "../gatewayContext.js";
import type { CallRow } from "../rows/callRow.js";

/** Returns the tokens of a request that ends without having been sent. They expire as if they had not been taken. */
export const returnCharge = (context: GatewayContext, call: CallRow): void => {
    const { charge } = call;
    if (charge === undefined || call.attempts > 0) {
        return;
    }
    call.charge = undefined;
    context.quotas.rows.get(charge.workspace)?.held.push({ tokens: charge.tokens, untilMs: charge.untilMs });
};
