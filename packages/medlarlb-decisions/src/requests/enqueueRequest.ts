import type { RequestRow } from "../rows/requestRow.js";
import type { DecisionContext } from "../decisionContext.js";
import { isMoreUrgent } from "./isMoreUrgent.js";

/** Puts a request into the queue of its name, behind the more urgent ones. */
export const enqueueRequest = (world: DecisionContext, row: RequestRow): void => {
    row.state = "waiting";
    const queue = world.queues.get(row.request.name) ?? [];
    const position = queue.findIndex(requestId => {
        const other = world.requests.get(requestId);
        return other !== undefined && isMoreUrgent(row.request, other.request);
    });
    queue.splice(position < 0 ? queue.length : position, 0, row.request.requestId);
    world.queues.set(row.request.name, queue);
};
