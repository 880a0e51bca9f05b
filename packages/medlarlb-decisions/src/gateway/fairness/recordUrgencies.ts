import type { InstanceId } from "medlarlb-types/instanceId";
import type { InstanceStatus } from "medlarlb-types/instanceStatus";
import type { ZoneId } from "medlarlb-types/zoneId";
import type { GatewayContext } from "../gatewayContext.js";

/** Replaces what an instance, or a hub for its zone, has reported of the demand by rank. */
export const recordUrgencies = (
    { fairness, nowMs }: GatewayContext,
    from: { instanceId: InstanceId; zone: ZoneId; ofZone: boolean },
    waiting: InstanceStatus["waiting"],
): void => {
    fairness.heardAtMs.set(from.instanceId, nowMs);
    if (from.ofZone) {
        // The sum includes what the zone's instances or an earlier hub reported before.
        [...fairness.reports].filter(([, report]) => report.zone === from.zone).forEach(([id]) => fairness.reports.delete(id));
    }
    const urgencies = new Map(waiting.flatMap(each =>
        (each.urgencies === undefined ? [] : [[`${each.service}/${each.model}`, each.urgencies] as const])));
    if (urgencies.size === 0) {
        fairness.reports.delete(from.instanceId);
    }
    else {
        fairness.reports.set(from.instanceId, { zone: from.zone, atMs: nowMs, urgencies });
    }
};
