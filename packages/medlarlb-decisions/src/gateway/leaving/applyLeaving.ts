import type { GatewayContext } from "../gatewayContext.js";
import type { GatewayInput } from "../gatewayInput.js";
import { shareObservations } from "../observations/shareObservations.js";
import { setLeaving } from "./setLeaving.js";

/** Applies an answer in which a target says that it leaves, and tells the others. */
export const applyLeaving = (context: GatewayContext, { targetId, source }: Extract<GatewayInput, { kind: "targetLeaving" }>): void => {
    const { entry } = context.targets.get(targetId) ?? context.formerTargets.get(targetId) ?? {};
    if (entry !== undefined && setLeaving(context, targetId, entry.startedAtMs, source)) {
        shareObservations(context, [{ kind: "leaving", targetId, startedAtMs: entry.startedAtMs }]);
    }
};
