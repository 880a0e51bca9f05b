import type { GatewayContext } from "../gatewayContext.js";
import { listZoneMembers } from "../status/listZoneMembers.js";

/** Passes on the observations from other zones that have arrived since the last status, all in one message. */
export const relayObservations = (context: GatewayContext): void => {
    const observations = context.observationsToRelay.splice(0);
    if (observations.length > 0) {
        context.commands.push({ kind: "shareObservations", to: listZoneMembers(context), reporterZone: context.settings.zone, observations, byGossip: false });
    }
};
