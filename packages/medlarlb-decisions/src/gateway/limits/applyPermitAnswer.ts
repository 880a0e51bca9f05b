import type { PermitAnswer } from "medlarlb-types/permitAnswer";
import type { GatewayContext } from "../gatewayContext.js";
import { addPermit } from "./addPermit.js";

/** Applies a planner's answer to a request for a permit. */
export const applyPermitAnswer = (context: GatewayContext, { targetId, startedAtMs, granted, competing }: PermitAnswer): void => {
    const target = context.targets.get(targetId);
    if (target?.entry.startedAtMs !== startedAtMs) {
        return;
    }
    target.permitCompetitors = Math.max(1, competing);
    if (granted) {
        addPermit(context, target);
    }
};
