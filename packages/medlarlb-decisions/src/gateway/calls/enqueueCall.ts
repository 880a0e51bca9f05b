import type { CallRow } from "../rows/callRow.js";
import type { GatewayContext } from "../gatewayContext.js";

/** Adds a call to the queue of its service. The queue is sorted each time before it is served. */
export const enqueueCall = (context: GatewayContext, row: CallRow): void => {
    const queue = context.queues.get(row.metadata.service) ?? [];
    queue.push(row);
    context.queues.set(row.metadata.service, queue);
};
