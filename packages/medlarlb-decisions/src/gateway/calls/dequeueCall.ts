import type { GatewayContext } from "../gatewayContext.js";
import type { CallRow } from "../rows/callRow.js";

/** Removes a call from the queue of its service, if it waits there. */
export const dequeueCall = (context: GatewayContext, row: CallRow): void => {
    const queue = context.queues.get(row.metadata.service);
    const position = queue?.indexOf(row) ?? -1;
    if (queue !== undefined && position >= 0) {
        queue.splice(position, 1);
    }
};
