import type { CallRow } from "../rows/callRow.js";
import type { GatewayWorld } from "../gatewayWorld.js";
import { endFlight } from "./endFlight.js";

/** Removes a call from every table. */
export const removeCall = (world: GatewayWorld, row: CallRow): void => {
    endFlight(world, row);
    const queue = world.queues.get(row.facts.service);
    const position = queue?.indexOf(row) ?? -1;
    if (queue !== undefined && position >= 0) {
        queue.splice(position, 1);
    }
    world.calls.delete(row.facts.callId);
};
