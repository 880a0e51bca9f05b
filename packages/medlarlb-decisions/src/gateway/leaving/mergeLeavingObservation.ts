import type { LeavingObservation } from "medlarlb-types/leavingObservation";
import type { GatewayContext } from "../gatewayContext.js";
import { setLeaving } from "./setLeaving.js";

/** Applies what a target has told another instance. Returns whether it was news. */
export const mergeLeavingObservation = (context: GatewayContext, { targetId, startedAtMs }: LeavingObservation): boolean =>
    setLeaving(context, targetId, startedAtMs, "another instance");
