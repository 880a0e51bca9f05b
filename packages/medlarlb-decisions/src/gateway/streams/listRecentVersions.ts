import type { GatewayContext } from "../gatewayContext.js";

/** Lists the software versions of a service's targets that are listed now, or were within a time in ms. */
export const listRecentVersions = (context: GatewayContext, service: string, withinMs: number): Set<string | undefined> => {
    const versions = new Set((context.targetsByService.get(service) ?? []).map(target => target.entry.softwareVersion));
    for (const [version, listedUntilMs] of context.formerVersions.get(service) ?? []) {
        if (context.nowMs - listedUntilMs <= withinMs) {
            versions.add(version);
        }
    }
    return versions;
};
