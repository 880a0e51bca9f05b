import type { RequestId } from "medlarlb-types/requestId";
import { removeRequest } from "../requests/removeRequest.js";
import type { DecisionContext } from "../decisionContext.js";

/** Removes a request whose caller has disconnected, and cancels its run on the target. */
export const applyCancellation = (context: DecisionContext, requestId: RequestId): void => {
    const row = context.requests.get(requestId);
    if (row === undefined) {
        return;
    }
    if (row.attemptId !== undefined && row.targetId !== undefined) {
        context.commands.push({ kind: "cancelRun", requestId, attemptId: row.attemptId, targetId: row.targetId });
    }
    removeRequest(context, row);
};
