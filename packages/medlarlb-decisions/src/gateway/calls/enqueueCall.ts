import type { CallRow } from "../rows/callRow.js";
import type { GatewayContext } from "../gatewayContext.js";

/** Puts a call into the queue of its service. The queue is put into order before it is served. */
export const enqueueCall = (world: GatewayContext, row: CallRow): void => {
    const queue = world.queues.get(row.metadata.service) ?? [];
    queue.push(row);
    world.queues.set(row.metadata.service, queue);
};
