import type { GatewayContext } from "../gatewayContext.js";

const NO_SERVICES: ReadonlySet<string> = new Set();

/**
 * Returns the services whose requests differ in rank: all if the configuration has workspaces, or else those of routes with several
 * priorities. The requests of other services are served as without ranks. All instances decide this by their configuration, since
 * an instance whose own requests have one rank has to consider those at the others.
 */
export const listRankedServices = (context: GatewayContext): ReadonlySet<string> => {
    const { config, fairness } = context;
    if (config === undefined) {
        return NO_SERVICES;
    }
    if (fairness.ranked?.config !== config) {
        const priorities = new Map<string, Set<number>>();
        for (const { priority, destinations } of config.routes) {
            for (const { service } of destinations) {
                priorities.set(service, (priorities.get(service) ?? new Set()).add(priority));
            }
        }
        const isRanked = (service: string): boolean => config.workspaces !== undefined || (priorities.get(service)?.size ?? 0) > 1;
        fairness.ranked = { config, services: new Set([...priorities.keys()].filter(isRanked)) };
    }
    return fairness.ranked?.services ?? NO_SERVICES;
};
