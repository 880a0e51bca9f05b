import type { CallRow } from "../rows/callRow.js";
import type { GatewayWorld } from "../gatewayWorld.js";
import { endFlight } from "./endFlight.js";
import { dequeueCall } from "./dequeueCall.js";

/** Removes a call from every table. */
export const removeCall = (world: GatewayWorld, row: CallRow): void => {
    endFlight(world, row);
    dequeueCall(world, row);
    world.calls.delete(row.facts.callId);
};
