import { holdAbandoned } from "../capacity/holdAbandoned.js";
import type { GatewayContext } from "../gatewayContext.js";
import type { CallRow } from "../rows/callRow.js";

/** Number of abandoned requests that are kept of a target. */
const MAX_ABANDONED = 128;

/** Records that the current attempt of a call is given up without an answer. Its target may still run it, and end under it. */
export const recordAbandoned = (context: GatewayContext, row: CallRow): void => {
    holdAbandoned(context, row);
    const { currentAttempt: attempt } = row;
    const target = attempt === undefined ? undefined : context.targets.get(attempt.targetId);
    if (target === undefined || attempt?.answerStartedAtMs !== undefined) {
        return;
    }
    target.abandonedRequests.push({ keys: row.crashKeys, atMs: context.nowMs });
    if (target.abandonedRequests.length > MAX_ABANDONED) {
        target.abandonedRequests.shift();
    }
};
