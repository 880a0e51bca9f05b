import type { CallRow } from "../rows/callRow.js";
import type { GatewayWorld } from "../gatewayWorld.js";

/** Ends the present attempt of a call and gives back what it held on its target. */
export const endFlight = (world: GatewayWorld, row: CallRow): void => {
    if (row.flight !== undefined) {
        world.targets.get(row.flight.targetId)?.flights.delete(row.facts.callId);
        row.flight = undefined;
    }
};
