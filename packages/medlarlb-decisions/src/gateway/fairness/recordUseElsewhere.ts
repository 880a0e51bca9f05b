import type { InstanceId } from "medlarlb-types/instanceId";
import type { WorkspaceUse } from "medlarlb-types/workspaceUse";
import type { ZoneId } from "medlarlb-types/zoneId";
import type { GatewayContext } from "../gatewayContext.js";

/** Replaces what an instance, or a hub for its zone, has reported of the use. Messages without such a report change nothing. */
export const recordUseElsewhere = (
    { fairness, nowMs }: GatewayContext,
    from: { instanceId: InstanceId; zone: ZoneId; ofZone: boolean },
    used: WorkspaceUse[] | undefined,
): void => {
    if (used === undefined) {
        return;
    }
    if (from.ofZone) {
        [...fairness.usedElsewhere].filter(([, report]) => report.zone === from.zone).forEach(([id]) => fairness.usedElsewhere.delete(id));
    }
    fairness.usedElsewhere.set(from.instanceId, { zone: from.zone, atMs: nowMs, used });
};
