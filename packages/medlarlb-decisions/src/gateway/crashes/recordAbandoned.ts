import { holdAbandoned } from "../capacity/holdAbandoned.js";
import type { GatewayContext } from "../gatewayContext.js";
import type { CallAttempt } from "../rows/callAttempt.js";
import type { CallRow } from "../rows/callRow.js";

/** Number of abandoned requests that are kept of a target. */
const MAX_ABANDONED = 128;

const record = (context: GatewayContext, row: CallRow, attempt: CallAttempt): void => {
    holdAbandoned(context, attempt);
    const target = context.targets.get(attempt.targetId);
    if (target === undefined || attempt.answerStartedAtMs !== undefined) {
        return;
    }
    target.abandonedRequests.push({ keys: row.crashKeys, atMs: context.nowMs });
    if (target.abandonedRequests.length > MAX_ABANDONED) {
        target.abandonedRequests.shift();
    }
};

/** Records that attempts of a call are given up without an answer. Their targets may still run them, and end under them. */
export const recordAbandoned = (context: GatewayContext, row: CallRow, ...attempts: CallAttempt[]): void => {
    const abandoned = attempts.length > 0 ? attempts : [row.currentAttempt, row.hedge];
    abandoned.filter(attempt => attempt !== undefined).forEach(attempt => record(context, row, attempt));
};
