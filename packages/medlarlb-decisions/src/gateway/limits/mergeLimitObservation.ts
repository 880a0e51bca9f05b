import type { LimitObservation } from "medlarlb-types/limitObservation";
import type { GatewayContext } from "../gatewayContext.js";
import { setTargetLimit } from "./setTargetLimit.js";

/** Applies what another instance has read of a target's limit. Returns whether it was news. */
export const mergeLimitObservation = (context: GatewayContext, { targetId, startedAtMs, perSecond }: LimitObservation): boolean => {
    const target = context.targets.get(targetId);
    return target?.entry.startedAtMs === startedAtMs && setTargetLimit(context, target, perSecond, "another instance");
};
