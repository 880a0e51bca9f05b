import type { GatewayContext } from "../gatewayContext.js";

/** Rebuilds the index of targets by the service that they serve. */
export const indexTargets = (context: GatewayContext): void => {
    context.targetsByService = new Map();
    for (const target of context.targets.values()) {
        const list = context.targetsByService.get(target.entry.service) ?? [];
        list.push(target);
        context.targetsByService.set(target.entry.service, list);
    }
};
