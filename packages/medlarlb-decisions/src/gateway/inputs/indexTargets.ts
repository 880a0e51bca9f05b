import type { GatewayContext } from "../gatewayContext.js";

/** Sorts the targets by the service that they serve. */
export const indexTargets = (world: GatewayContext): void => {
    world.targetsByService = new Map();
    for (const target of world.targets.values()) {
        const list = world.targetsByService.get(target.entry.service) ?? [];
        list.push(target);
        world.targetsByService.set(target.entry.service, list);
    }
};
