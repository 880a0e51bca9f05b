import type { PlacementOrder } from "medlarlb-types/placementOrder";
import { logEvent } from "../calls/logEvent.js";
import type { GatewayContext } from "../gatewayContext.js";
import type { ManagedEngine } from "./managedEngine.js";

/** Sends an order to an engine, under the condition that no other order came before it. */
export const sendOrder = (world: GatewayContext, duty: ManagedEngine, action: PlacementOrder["action"], model: string, adapter: string | undefined, cause: string): void => {
    const target = world.targets.get(duty.targetId);
    if (target === undefined || world.fence === undefined) {
        return;
    }
    const order: PlacementOrder = { action, model, adapter, expectedOrderCount: duty.orderCount, fence: world.fence };
    duty.pending = { order, sentAtMs: world.nowMs };
    world.commands.push({ kind: "order", targetId: duty.targetId, address: target.entry.address, order });
    logEvent(world, "orderSent", { target: duty.targetId, action, model, adapter, orderCount: duty.orderCount, fence: world.fence, cause });
};
