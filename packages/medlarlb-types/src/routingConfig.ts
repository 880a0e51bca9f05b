import type { IngressLimits } from "./ingressLimits.js";
import type { KeyDigest } from "./keyDigest.js";
import type { Route } from "./route.js";
import type { ServicePool } from "./servicePool.js";
import type { Workspace } from "./workspace.js";

/** The operator's whole configuration of routes and services at one version. */
export interface RoutingConfig {
    /** Rises with each change, by steps of any size. */
    version: number;
    routes: Route[];
    services: Map<string, ServicePool>;
    limits: IngressLimits;
    /** Workspaces by name. If it is missing, requests need no key. */
    workspaces?: ReadonlyMap<string, Workspace> | undefined;
    /** Workspaces by the digests of their keys. */
    workspaceByKeyDigest?: ReadonlyMap<KeyDigest, Workspace> | undefined;
    /** Names of workspaces that list a key of another one. Such a key identifies neither. */
    workspacesWithSharedKeys?: ReadonlySet<string> | undefined;
}
