import type { RequestRow } from "../rows/requestRow.js";
import type { DecisionContext } from "../decisionContext.js";
import { isMoreUrgent } from "./isMoreUrgent.js";

/** Inserts a request into the queue of its name, behind the requests that are at least as urgent. */
export const enqueueRequest = (context: DecisionContext, row: RequestRow): void => {
    row.state = "waiting";
    const queue = context.queues.get(row.request.name) ?? [];
    const position = queue.findIndex(requestId => {
        const other = context.requests.get(requestId);
        return other !== undefined && isMoreUrgent(row.request, other.request);
    });
    queue.splice(position < 0 ? queue.length : position, 0, row.request.requestId);
    context.queues.set(row.request.name, queue);
};
