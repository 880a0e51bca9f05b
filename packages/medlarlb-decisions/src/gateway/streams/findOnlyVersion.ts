import type { GatewayContext } from "../gatewayContext.js";
import { listRecentVersions } from "./listRecentVersions.js";

/** Returns the software version of a service if this instance has known the store's list since a time, and only one version in it. */
export const findOnlyVersion = (context: GatewayContext, service: string, sinceMs: number): string | undefined => {
    const { listing } = context;
    if (listing === undefined || listing.sinceMs > sinceMs) {
        return undefined;
    }
    const versions = listRecentVersions(context, service, context.nowMs - sinceMs);
    return versions.size === 1 ? [...versions][0] : undefined;
};
