import type { GatewayContext } from "../gatewayContext.js";
import type { CallRow } from "../rows/callRow.js";
import { endHedge } from "./endHedge.js";
import { promoteHedge } from "./promoteHedge.js";

/**
 * Ends a failed attempt of a call whose other attempt still runs, and leaves the call to that one. Returns whether there is another
 * attempt; without one, the failure is the call's own.
 */
export const failHedgedAttempt = (context: GatewayContext, row: CallRow, failedAttempt: number, ran: "no" | "unknown"): boolean => {
    const { currentAttempt: first, hedge } = row;
    if (first === undefined || hedge === undefined) {
        return false;
    }
    const failed = failedAttempt === hedge.attempt ? hedge : first;
    if (ran === "unknown") {
        row.mayHaveRun = true;
        row.possibleRuns += 1;
    }
    row.excludedTargets.add(failed.targetId);
    if (failed === hedge) {
        endHedge(context, row);
    }
    else {
        promoteHedge(context, row);
    }
    return true;
};
