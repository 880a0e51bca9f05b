import type { InstanceId } from "medlarlb-types/instanceId";
import type { GatewayContext } from "../gatewayContext.js";

/** Time in ms without a status after which an instance of a small group no longer counts as a hub: several status intervals. */
const SILENT_AFTER_MS = 700;

/** Returns the hub of this instance in a small group: the first instance of its zone's order that responds. */
export const chooseQuotaHub = ({ zoneOrder, quotas, nowMs, settings }: GatewayContext): InstanceId => {
    for (const id of zoneOrder) {
        if (id === settings.instanceId || nowMs - (quotas.heardAtMs.get(id) ?? Number.NEGATIVE_INFINITY) < SILENT_AFTER_MS) {
            return id;
        }
    }
    return settings.instanceId;
};
