import type { GatewayContext } from "../gatewayContext.js";
import { applyPlacementUpdate } from "../inputs/applyPlacementUpdate.js";
import type { PlacementUpdate } from "medlarlb-types/placementUpdate";
import type { ManagedEngine } from "./managedEngine.js";
import { listUpdateRecipients } from "./listUpdateRecipients.js";

/** Publishes what the planner knows of an engine, after applying it to this instance's own table. */
export const publishPlacementUpdate = (context: GatewayContext, duty: ManagedEngine, storeLoadBegun = false): void => {
    const running = duty.running?.order;
    const listRunning = (action: "load" | "unload"): string[] => (running?.action === action && duty.running?.announced !== true ? [running.model] : []);
    const arriving = new Set(duty.loadingAdapters.map(each => `${each.model}/${each.adapter}`));
    const held = [...duty.models].map(([name, { adapters }]) => ({
        name,
        adapters: [...adapters.keys()].filter(adapter => !arriving.has(`${name}/${adapter}`)),
    }));
    if (duty.running?.announced === true) {
        held.push({ name: duty.running.order.model, adapters: [] });
    }
    const news: PlacementUpdate = {
        targetId: duty.targetId,
        startedAtMs: duty.startedAtMs,
        orderCount: duty.orderCount,
        held,
        opening: duty.nextModel === undefined ? listRunning("load") : [...listRunning("load"), duty.nextModel],
        closing: listRunning("unload"),
        storeLoadBegun,
    };
    applyPlacementUpdate(context, news);
    context.commands.push({ kind: "shareNews", to: listUpdateRecipients(context), news });
};
