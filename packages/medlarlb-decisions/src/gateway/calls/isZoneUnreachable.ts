import type { ZoneId } from "medlarlb-types/zoneId";
import type { GatewayContext } from "../gatewayContext.js";

/** Time in ms without a message from a zone after which it may be unreachable. The time spans a few messages of its instances. */
const UNREACHABLE_AFTER_MS = 550;

/**
 * Returns whether a zone counts as unreachable from this instance: neither its instances nor its targets have responded. All
 * instances of a zone can fail while its targets keep serving, so that a response from either is enough.
 */
export const isZoneUnreachable = (context: GatewayContext, zone: ZoneId): boolean => {
    const lastSeenAtMs = context.zoneLastSeenAtMs.get(zone);
    if (zone === context.settings.zone || lastSeenAtMs === undefined) {
        return false;
    }
    const targetsLastSeenAtMs = context.zoneTargetsLastSeenAtMs.get(zone) ?? Number.NEGATIVE_INFINITY;
    return context.nowMs - Math.max(lastSeenAtMs, targetsLastSeenAtMs) >= UNREACHABLE_AFTER_MS;
};
