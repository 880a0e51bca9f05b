import type { ZoneId } from "medlarlb-types/zoneId";
import type { GatewayContext } from "../gatewayContext.js";

/** Time in ms without a message from a zone after which it may be unreachable. It spans a few messages of its instances. */
const UNREACHABLE_AFTER_MS = 550;

/**
 * Tells whether a zone seems to be cut off from this instance: neither its instances nor its targets have responded.
 * Instances of a zone can all be gone while its targets serve on, so that one of both is enough.
 */
export const isZoneUnreachable = (context: GatewayContext, zone: ZoneId): boolean => {
    const lastSeenAtMs = context.zoneLastSeenAtMs.get(zone);
    if (zone === context.settings.zone || lastSeenAtMs === undefined || context.nowMs - lastSeenAtMs < UNREACHABLE_AFTER_MS) {
        return false;
    }
    for (const target of context.targets.values()) {
        if (target.entry.zone === zone && context.nowMs - target.lastSeenAtMs < UNREACHABLE_AFTER_MS) {
            return false;
        }
    }
    return true;
};
