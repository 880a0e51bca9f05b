import { recordAbandoned } from "../crashes/recordAbandoned.js";
import type { GatewayContext } from "../gatewayContext.js";
import { logEvent } from "../calls/logEvent.js";
import type { CallRow } from "../rows/callRow.js";
import { endHedge } from "./endHedge.js";
import { promoteHedge } from "./promoteHedge.js";
import { recordAnswerTime } from "./recordAnswerTime.js";

/**
 * Cancels the other one of a call's two attempts once the answer of one has begun. The other may have run, so that it counts as a
 * run for the route's limit.
 */
export const settleHedge = (context: GatewayContext, row: CallRow, begunAttempt: number): void => {
    const { currentAttempt: first, hedge, metadata } = row;
    if (first === undefined || hedge === undefined || (begunAttempt !== first.attempt && begunAttempt !== hedge.attempt)) {
        return;
    }
    const hasHedgeWon = begunAttempt === hedge.attempt;
    const loser = hasHedgeWon ? first : hedge;
    logEvent(context, "hedgeSettled", {
        request: metadata.callerRequestId,
        winner: hasHedgeWon ? "second" : "first",
        cancelledAfterMs: Math.round(context.nowMs - loser.sentAtMs),
    });
    context.commands.push({ kind: "abort", callId: metadata.callId, attempt: loser.attempt });
    row.mayHaveRun = true;
    row.possibleRuns += 1;
    recordAnswerTime(context, metadata.service, loser);
    recordAbandoned(context, row, loser);
    if (hasHedgeWon) {
        promoteHedge(context, row);
    }
    else {
        endHedge(context, row);
    }
};
