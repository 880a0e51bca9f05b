import type { RoutingConfig } from "medlarlb-types/routingConfig";

/** Largest number of workspaces that have metrics of their own, so that the metrics' memory is bounded. */
const MAX_LABELLED_WORKSPACES = 2_000;

/** Returns the names of the workspaces that have metrics of their own: the first ones of the configuration. */
export const listLabelledWorkspaces = (config: Pick<RoutingConfig, "workspaces">): ReadonlySet<string> =>
    new Set([...(config.workspaces?.keys() ?? [])].slice(0, MAX_LABELLED_WORKSPACES));
