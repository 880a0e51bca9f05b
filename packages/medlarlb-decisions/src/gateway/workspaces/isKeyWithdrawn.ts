import type { CallMetadata } from "medlarlb-types/callMetadata";
import type { RoutingConfig } from "medlarlb-types/routingConfig";

/** Returns whether a request's key no longer belongs to its workspace. A configuration without workspaces withdraws no key. */
export const isKeyWithdrawn = (
    config: Pick<RoutingConfig, "workspaces" | "workspaceByKeyDigest"> | undefined,
    { keyDigest, workspace }: Pick<CallMetadata, "keyDigest" | "workspace">,
): boolean =>
    config?.workspaces !== undefined && keyDigest !== undefined && config.workspaceByKeyDigest?.get(keyDigest)?.name !== workspace?.name;
