import { logEvent } from "../calls/logEvent.js";
import { sendCall } from "../calls/sendCall.js";
import type { GatewayContext } from "../gatewayContext.js";
import { endRetryWait } from "../retries/endRetryWait.js";
import { takeRetryToken } from "../retries/takeRetryToken.js";
import type { CallRow } from "../rows/callRow.js";
import { chooseHedgeTarget } from "./chooseHedgeTarget.js";
import { isHedgeable } from "./isHedgeable.js";
import { isLoadLow } from "./isLoadLow.js";
import { takeExtraWork } from "./takeExtraWork.js";

/**
 * Sends a second attempt of a call whose first is slower than most, if the load is low, a target has room, and both the limit on
 * extra work and the retry budget allow it. A call gets one chance: a later one would come too late to help.
 */
export const startHedge = (context: GatewayContext, row: CallRow): void => {
    const { metadata, currentAttempt: first } = row;
    row.hedgeAtMs = Number.POSITIVE_INFINITY;
    if (first === undefined || !isHedgeable(context, row) || !isLoadLow(context, metadata.service)) {
        return;
    }
    const choice = chooseHedgeTarget(context, row);
    // The answer has to come before the caller leaves.
    if (choice === undefined || context.nowMs + choice.prediction.answerMs > row.nextEventDeadlineAtMs) {
        return;
    }
    if (!takeExtraWork(context, metadata) || !takeRetryToken(context, metadata.service)) {
        return;
    }
    endRetryWait(context, metadata.service);
    logEvent(context, "hedged", {
        request: metadata.callerRequestId,
        route: metadata.route.name,
        first: first.targetId,
        target: choice.target.entry.targetId,
        afterMs: Math.round(context.nowMs - first.sentAtMs),
    });
    sendCall(context, row, choice.target, choice.prediction, "hedge");
};
