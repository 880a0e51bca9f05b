import type { GatewayContext } from "../gatewayContext.js";
import type { PoolTarget } from "../rows/poolTarget.js";

/** Records that a target has responded at a time. */
export const recordContact = (context: GatewayContext, target: PoolTarget, atMs: number): void => {
    const { zone } = target.entry;
    target.lastSeenAtMs = Math.max(target.lastSeenAtMs, atMs);
    context.zoneTargetsLastSeenAtMs.set(zone, Math.max(context.zoneTargetsLastSeenAtMs.get(zone) ?? 0, atMs));
};
