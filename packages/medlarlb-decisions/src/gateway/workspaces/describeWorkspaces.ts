import type { RoutingConfig } from "medlarlb-types/routingConfig";

/** Returns what the log tells of a configuration's workspaces; nothing if it has none. */
export const describeWorkspaces = (config: RoutingConfig): Record<string, unknown> => {
    const { workspaces, workspaceByKeyDigest, workspacesWithSharedKeys } = config;
    if (workspaces === undefined) {
        return {};
    }
    const sharedKeys = workspacesWithSharedKeys === undefined ? undefined : [...workspacesWithSharedKeys];
    return { workspaces: workspaces.size, keys: workspaceByKeyDigest?.size, sharedKeys };
};
