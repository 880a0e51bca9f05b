import type { TargetId } from "medlarlb-types/targetId";
import type { GatewayContext } from "../gatewayContext.js";

/** Drops the planner's record of an engine that has ended. */
export const dropManagedEngine = (context: GatewayContext, targetId: TargetId): void => {
    if (context.managedEngines.get(targetId)?.unsettledLoad !== undefined) {
        // No report can show any more whether the load began.
        context.storeLoadTimesMs.push(context.nowMs);
    }
    context.managedEngines.delete(targetId);
};
