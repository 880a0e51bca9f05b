import type { IngressLimits } from "./ingressLimits.js";
import type { Route } from "./route.js";
import type { ServicePool } from "./servicePool.js";

/** The operator's whole configuration of routes and services at one version. */
export interface RoutingConfig {
    /** Rises with each change, by steps of any size. */
    version: number;
    routes: Route[];
    services: Map<string, ServicePool>;
    limits: IngressLimits;
}
