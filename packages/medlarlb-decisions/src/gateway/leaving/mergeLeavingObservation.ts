import type { LeavingObservation } from "medlarlb-types/leavingObservation";
import type { GatewayContext } from "../gatewayContext.js";
import { setLeaving } from "./setLeaving.js";

/** Applies what a target has told another instance. Returns whether it was news. */
export const mergeLeavingObservation = (context: GatewayContext, { targetId, startedAtMs }: LeavingObservation): boolean => {
    const target = context.targets.get(targetId);
    return target?.entry.startedAtMs === startedAtMs && setLeaving(context, target, "another instance");
};
