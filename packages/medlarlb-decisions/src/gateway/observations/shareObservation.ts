import type { TargetObservation } from "medlarlb-types/targetObservation";
import type { GatewayContext } from "../gatewayContext.js";
import { listObservationRecipients } from "./listObservationRecipients.js";

/** Tells the other instances what this one has observed. */
export const shareObservation = (context: GatewayContext, observation: TargetObservation): void => {
    context.commands.push({
        kind: "shareObservations",
        to: listObservationRecipients(context),
        reporterZone: context.settings.zone,
        observations: [observation],
        // A target tells each instance its limit, and that it leaves, in the first answer, but a crash is seen once.
        byGossip: observation.kind !== "limit" && observation.kind !== "leaving",
    });
};
