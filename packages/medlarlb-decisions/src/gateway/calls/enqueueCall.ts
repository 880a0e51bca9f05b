import type { CallRow } from "../rows/callRow.js";
import type { GatewayWorld } from "../gatewayWorld.js";

/** Puts a call into the queue of its service. The queue is put into order before it is served. */
export const enqueueCall = (world: GatewayWorld, row: CallRow): void => {
    const queue = world.queues.get(row.facts.service) ?? [];
    queue.push(row);
    world.queues.set(row.facts.service, queue);
};
