import type { PlacementOrder } from "medlarlb-types/placementOrder";
import { logEvent } from "../calls/logEvent.js";
import type { GatewayContext } from "../gatewayContext.js";
import type { ManagedEngine } from "./managedEngine.js";

/** Sends an order to an engine, under the condition that no other order came before it. */
export const sendOrder = (context: GatewayContext, duty: ManagedEngine, action: PlacementOrder["action"], model: string, adapter: string | undefined, cause: string): void => {
    const target = context.targets.get(duty.targetId);
    if (target === undefined || context.fence === undefined) {
        return;
    }
    const order: PlacementOrder = { action, model, adapter, expectedOrderCount: duty.orderCount, fence: context.fence };
    duty.pending = { order, sentAtMs: context.nowMs };
    context.commands.push({ kind: "order", targetId: duty.targetId, address: target.entry.address, order });
    logEvent(context, "orderSent", { target: duty.targetId, action, model, adapter, orderCount: duty.orderCount, fence: context.fence, cause });
};
