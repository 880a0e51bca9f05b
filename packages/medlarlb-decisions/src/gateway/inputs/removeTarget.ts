import type { TargetId } from "medlarlb-types/targetId";
import { logEvent } from "../calls/logEvent.js";
import type { GatewayContext } from "../gatewayContext.js";
import { indexTargets } from "./indexTargets.js";

/** Takes a target out of use that the list no longer holds. */
export const removeTarget = (world: GatewayContext, targetId: TargetId): void => {
    if (world.targets.delete(targetId)) {
        world.managedEngines.delete(targetId);
        indexTargets(world);
        logEvent(world, "targetGone", { target: targetId });
    }
};
