import type { ZoneId } from "medlarlb-types/zoneId";
import type { GatewayContext } from "../gatewayContext.js";

/** Time in ms without a planner's report that it plans, after which it is skipped. The time spans several of its messages. */
const INACTIVE_AFTER_MS = 800;

/** Returns whether a zone has a planner that may give orders now, as far as this instance knows. */
export const hasActivePlanner = (context: GatewayContext, zone: ZoneId): boolean => {
    const lastSeenAtMs = context.plannerLastSeenAtMs.get(zone) ?? Number.NEGATIVE_INFINITY;
    return (zone === context.settings.zone && context.fence !== undefined) || context.nowMs - lastSeenAtMs < INACTIVE_AFTER_MS;
};
