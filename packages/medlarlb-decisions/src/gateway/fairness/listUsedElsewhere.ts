import type { InstanceId } from "medlarlb-types/instanceId";
import type { WorkspaceUse } from "medlarlb-types/workspaceUse";
import type { ZoneId } from "medlarlb-types/zoneId";
import type { GatewayContext } from "../gatewayContext.js";

/** Age in ms from which a report of use no longer counts: a few of its intervals. */
const MAX_USED_AGE_MS = 3_500;

/** Returns the latest reports of use by other instances that a condition on their sender allows. */
export const listUsedElsewhere = (
    { fairness, nowMs }: GatewayContext,
    isCounted: (id: InstanceId, zone: ZoneId) => boolean,
): WorkspaceUse[][] => {
    const lists: WorkspaceUse[][] = [];
    for (const [id, { zone, atMs, used }] of fairness.usedElsewhere) {
        if (nowMs - atMs > MAX_USED_AGE_MS) {
            fairness.usedElsewhere.delete(id);
        }
        else if (isCounted(id, zone)) {
            lists.push(used);
        }
    }
    return lists;
};
