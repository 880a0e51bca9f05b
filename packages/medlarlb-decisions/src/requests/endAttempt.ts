import type { RequestRow } from "../rows/requestRow.js";
import type { DecisionContext } from "../decisionContext.js";

/** Ends the attempt of a request, if one runs, and gives back what it held. */
export const endAttempt = (context: DecisionContext, row: RequestRow): void => {
    if (row.attemptId === undefined || row.targetId === undefined) {
        return;
    }
    const target = context.targets.get(row.targetId);
    if (target !== undefined) {
        target.ownInFlight = Math.max(0, target.ownInFlight - 1);
    }
    if (context.isolatedRun === row.request.requestId) {
        context.isolatedRun = undefined;
    }
    row.attemptId = undefined;
};
