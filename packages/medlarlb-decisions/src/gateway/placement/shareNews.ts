import type { GatewayWorld } from "../gatewayWorld.js";
import { applyNews } from "../inputs/applyNews.js";
import type { PlacementNews } from "medlarlb-types/placementNews";
import type { EngineDuty } from "./engineDuty.js";

/** Tells all instances what the planner knows of an engine, this one first. */
export const shareNews = (world: GatewayWorld, duty: EngineDuty, storeLoadBegun = false): void => {
    const running = duty.running?.order;
    const nameIf = (action: "load" | "unload"): string[] => (running?.action === action ? [running.model] : []);
    const arriving = new Set(duty.arriving.map(each => `${each.model}/${each.adapter}`));
    const news: PlacementNews = {
        targetId: duty.targetId,
        startedAtMs: duty.startedAtMs,
        orderCount: duty.orderCount,
        held: [...duty.models].map(([name, { adapters }]) => ({
            name,
            adapters: [...adapters.keys()].filter(adapter => !arriving.has(`${name}/${adapter}`)),
        })),
        opening: duty.nextModel === undefined ? nameIf("load") : [...nameIf("load"), duty.nextModel],
        closing: nameIf("unload"),
        storeLoadBegun,
    };
    applyNews(world, news);
    world.commands.push({ kind: "shareNews", news });
};
