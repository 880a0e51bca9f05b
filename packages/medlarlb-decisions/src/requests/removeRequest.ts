import type { RequestRow } from "../rows/requestRow.js";
import type { DecisionContext } from "../decisionContext.js";
import { endAttempt } from "./endAttempt.js";

/** Ends the attempt of a request and removes the request from its queue and from the table of requests. */
export const removeRequest = (context: DecisionContext, row: RequestRow): void => {
    endAttempt(context, row);
    const { requestId, name } = row.request;
    const queue = context.queues.get(name);
    const position = queue?.indexOf(requestId) ?? -1;
    if (queue !== undefined && position >= 0) {
        queue.splice(position, 1);
    }
    if (queue?.length === 0) {
        context.queues.delete(name);
    }
    context.requests.delete(requestId);
};
