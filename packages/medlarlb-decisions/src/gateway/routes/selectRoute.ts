import type { Route } from "medlarlb-types/route";
import type { RoutingConfig } from "medlarlb-types/routingConfig";

/** Selects the route of a request: of those of its host, the one with the longest prefix that begins its path. */
export const selectRoute = (config: RoutingConfig, host: string, path: string): Route | undefined => {
    const name = host.toLowerCase().replace(/:\d+$/, "");
    let found: Route | undefined;
    for (const route of config.routes) {
        if (route.host === name && path.startsWith(route.prefix) && (found === undefined || route.prefix.length > found.prefix.length)) {
            found = route;
        }
    }
    return found;
};
