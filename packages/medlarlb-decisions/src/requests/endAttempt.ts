import type { RequestRow } from "../rows/requestRow.js";
import type { DecisionContext } from "../decisionContext.js";

/** Ends the active attempt of a request, if any, and frees its place on the target and its isolation. */
export const endAttempt = (context: DecisionContext, row: RequestRow): void => {
    if (row.attemptId === undefined || row.targetId === undefined) {
        return;
    }
    const target = context.targets.get(row.targetId);
    if (target !== undefined) {
        target.localInFlight = Math.max(0, target.localInFlight - 1);
    }
    if (context.isolatedRequestId === row.request.requestId) {
        context.isolatedRequestId = undefined;
    }
    row.attemptId = undefined;
};
