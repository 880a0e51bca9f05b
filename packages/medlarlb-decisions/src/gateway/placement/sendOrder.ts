import type { PlacementOrder } from "medlarlb-types/placementOrder";
import { logEvent } from "../calls/logEvent.js";
import type { GatewayContext } from "../gatewayContext.js";
import type { ManagedEngine } from "./managedEngine.js";

/** Sends an order to an engine, on condition that the engine has accepted no other order since the last known one. */
export const sendOrder = (context: GatewayContext, managed: ManagedEngine, action: PlacementOrder["action"], model: string, adapter: string | undefined, cause: string): void => {
    const target = context.targets.get(managed.targetId);
    if (target === undefined || context.fence === undefined) {
        return;
    }
    const order: PlacementOrder = { action, model, adapter, expectedOrderCount: managed.orderCount, fence: context.fence };
    managed.pending = { order, sentAtMs: context.nowMs };
    context.commands.push({ kind: "order", targetId: managed.targetId, address: target.entry.address, order });
    logEvent(context, "orderSent", { target: managed.targetId, action, model, adapter, orderCount: managed.orderCount, fence: context.fence, cause });
};
