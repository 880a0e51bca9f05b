import type { Route } from "medlarlb-types/route";
import type { RoutingConfig } from "medlarlb-types/routingConfig";

/** Returns the route of a request: among those of its host, the one with the longest prefix that matches its path. */
export const selectRoute = (config: RoutingConfig, host: string, path: string): Route | undefined => {
    const hostName = host.toLowerCase().replace(/:\d+$/, "");
    let best: Route | undefined;
    for (const route of config.routes) {
        if (route.host === hostName && path.startsWith(route.prefix) && (best === undefined || route.prefix.length > best.prefix.length)) {
            best = route;
        }
    }
    return best;
};
