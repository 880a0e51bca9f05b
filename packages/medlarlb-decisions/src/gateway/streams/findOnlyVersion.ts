import type { GatewayContext } from "../gatewayContext.js";
import { listRecentVersions } from "./listRecentVersions.js";

/**
 * Returns the software version of a service if it has had only one since a time: this instance has known the store's list from
 * then on, and knows it as of another time or later.
 */
export const findOnlyVersion = (context: GatewayContext, service: string, sinceMs: number, listedAtMs: number): string | undefined => {
    const { listing } = context;
    if (listing === undefined || listing.sinceMs > sinceMs || listing.contactAtMs < listedAtMs) {
        return undefined;
    }
    const versions = listRecentVersions(context, service, context.nowMs - sinceMs);
    return versions.size === 1 ? [...versions][0] : undefined;
};
