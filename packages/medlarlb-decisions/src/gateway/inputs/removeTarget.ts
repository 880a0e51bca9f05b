import type { TargetId } from "medlarlb-types/targetId";
import { logEvent } from "../calls/logEvent.js";
import type { GatewayWorld } from "../gatewayWorld.js";
import { indexTargets } from "./indexTargets.js";

/** Takes a target out of use that the list no longer holds. */
export const removeTarget = (world: GatewayWorld, targetId: TargetId): void => {
    if (world.targets.delete(targetId)) {
        world.duties.delete(targetId);
        indexTargets(world);
        logEvent(world, "targetGone", { target: targetId });
    }
};
