import type { GatewayContext } from "../gatewayContext.js";
import type { CallRow } from "../rows/callRow.js";
import { findQuotaRow } from "./findQuotaRow.js";
import { quotaCost } from "./quotaCost.js";
import { takeHeld } from "./takeHeld.js";

/**
 * Returns whether a request may be sent now as far as its charge is concerned. Tokens that have expired while the request waited
 * for a target are void, and it needs new ones, also if a target has refused it meanwhile. One that may have run is not charged again.
 */
export const renewCharge = (context: GatewayContext, call: CallRow): boolean => {
    const { charge, mayHaveRun, metadata } = call;
    if (charge === undefined || mayHaveRun || context.nowMs < charge.untilMs) {
        return true;
    }
    const row = findQuotaRow(context, charge.workspace);
    if (row === undefined) {
        return true;
    }
    const renewed = takeHeld(context, row, quotaCost(metadata, row.quota));
    if (renewed === undefined && context.nowMs >= row.askAgainAtMs) {
        row.wantedAgain = Math.max(row.wantedAgain, quotaCost(metadata, row.quota));
        context.quotas.toAsk.add(row);
    }
    call.charge = renewed ?? charge;
    return renewed !== undefined;
};
