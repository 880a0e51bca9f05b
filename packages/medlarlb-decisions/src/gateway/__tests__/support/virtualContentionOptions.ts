import type { Route } from "medlarlb-types/route";
import type { Workspace } from "medlarlb-types/workspace";

/** Size of a virtual deployment whose callers compete for the places of plain targets. */
export interface VirtualContentionOptions {
    seed: number;
    instances: number;
    zones: number;
    targets: number;
    /** Requests that a target runs at a time. */
    slots: number;
    /** Mean time in ms that a target takes for a request. */
    workMs: number;
    routes: Route[];
    workspaces?: Workspace[];
    /** Time in ms that messages between instances are late. */
    messageDelayMs?: number;
    /** Whether the instances know the configuration. */
    isConfigured?: boolean;
}
