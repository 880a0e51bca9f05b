import type { CallRow } from "../rows/callRow.js";
import type { GatewayContext } from "../gatewayContext.js";

/** Puts a call into the queue of its service. The queue is put into order before it is served. */
export const enqueueCall = (context: GatewayContext, row: CallRow): void => {
    const queue = context.queues.get(row.metadata.service) ?? [];
    queue.push(row);
    context.queues.set(row.metadata.service, queue);
};
