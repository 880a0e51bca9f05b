import type { GatewayContext } from "../gatewayContext.js";
import { applyPlacementUpdate } from "../inputs/applyPlacementUpdate.js";
import type { PlacementUpdate } from "medlarlb-types/placementUpdate";
import type { ManagedEngine } from "./managedEngine.js";
import { listUpdateRecipients } from "./listUpdateRecipients.js";

/** Publishes what the planner knows of an engine, after applying it to this instance's own table. */
export const publishPlacementUpdate = (context: GatewayContext, managed: ManagedEngine, storeLoadBegun = false): void => {
    const running = managed.running?.order;
    const listRunning = (action: "load" | "unload"): string[] => (running?.action === action && managed.running?.announced !== true ? [running.model] : []);
    const loadingAdapters = new Set(managed.loadingAdapters.map(each => `${each.model}/${each.adapter}`));
    const held = [...managed.models].map(([name, { adapters }]) => ({
        name,
        adapters: [...adapters.keys()].filter(adapter => !loadingAdapters.has(`${name}/${adapter}`)),
    }));
    if (managed.running?.announced === true) {
        held.push({ name: managed.running.order.model, adapters: [] });
    }
    const news: PlacementUpdate = {
        targetId: managed.targetId,
        startedAtMs: managed.startedAtMs,
        orderCount: managed.orderCount,
        held,
        opening: managed.nextModel === undefined ? listRunning("load") : [...listRunning("load"), managed.nextModel],
        closing: listRunning("unload"),
        storeLoadBegun,
    };
    applyPlacementUpdate(context, news);
    context.commands.push({ kind: "shareNews", to: listUpdateRecipients(context), news });
};
