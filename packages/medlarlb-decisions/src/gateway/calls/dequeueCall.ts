import type { GatewayWorld } from "../gatewayWorld.js";
import type { CallRow } from "../rows/callRow.js";

/** Takes a call out of the queue of its service, if it waits there. */
export const dequeueCall = (world: GatewayWorld, row: CallRow): void => {
    const queue = world.queues.get(row.facts.service);
    const position = queue?.indexOf(row) ?? -1;
    if (queue !== undefined && position >= 0) {
        queue.splice(position, 1);
    }
};
