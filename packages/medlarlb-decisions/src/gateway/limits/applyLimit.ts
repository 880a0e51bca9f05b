import type { GatewayContext } from "../gatewayContext.js";
import type { GatewayInput } from "../gatewayInput.js";
import { shareObservations } from "../observations/shareObservations.js";
import { setTargetLimit } from "./setTargetLimit.js";

/** Applies what a target says of its limit in an answer to this instance, and tells the others if it is news. */
export const applyLimit = (context: GatewayContext, { targetId, perSecond }: Extract<GatewayInput, { kind: "limit" }>): void => {
    const target = context.targets.get(targetId);
    if (target !== undefined && setTargetLimit(context, target, perSecond, "answer")) {
        shareObservations(context, [{ kind: "limit", targetId, startedAtMs: target.entry.startedAtMs, perSecond }]);
    }
};
