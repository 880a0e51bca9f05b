import type { GatewayContext } from "../gatewayContext.js";
import { publishPlacementUpdate } from "./publishPlacementUpdate.js";

/**
 * Marks adapters and models as loaded when their expected load time is over. The engine's report shows the same only about
 * a hundred ms later. A request that comes too early is refused and not run.
 */
export const completeExpectedLoads = (context: GatewayContext): void => {
    for (const managed of context.managedEngines.values()) {
        const { running } = managed;
        const isLoadDue = running !== undefined && !running.announced && running.order.action === "load" && running.doneAtMs <= context.nowMs;
        if (isLoadDue) {
            running.announced = true;
        }
        const stillLoading = managed.loadingAdapters.filter(each => each.doneAtMs > context.nowMs);
        if (isLoadDue || stillLoading.length < managed.loadingAdapters.length) {
            managed.loadingAdapters = stillLoading;
            publishPlacementUpdate(context, managed);
        }
    }
};
