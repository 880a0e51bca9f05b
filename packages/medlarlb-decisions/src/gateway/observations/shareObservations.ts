import type { TargetObservation } from "medlarlb-types/targetObservation";
import { crashKeys } from "../crashes/crashKeys.js";
import type { GatewayContext } from "../gatewayContext.js";
import { listObservationRecipients } from "./listObservationRecipients.js";

/**
 * Returns whether an observation also has to reach instances that start later. A target tells each instance its limit, and
 * that it leaves, in the first answer, and popular parts are completed again and again, but a crash is seen once.
 */
const isSeenOnce = (observation: TargetObservation): boolean =>
    !["limit", "leaving"].includes(observation.kind) && !(observation.kind === "completed" && crashKeys.isPart(observation.fingerprint));

/** Tells the other instances what this one has observed. */
export const shareObservations = (context: GatewayContext, observations: TargetObservation[]): void => {
    context.commands.push({
        kind: "shareObservations",
        to: listObservationRecipients(context),
        reporterZone: context.settings.zone,
        observations,
        byGossip: observations.some(isSeenOnce),
    });
};
