import type { InstanceId } from "medlarlb-types/instanceId";
import { hashText } from "../../hashText.js";
import type { GatewayContext } from "../gatewayContext.js";
import { listOtherQuotaHubs } from "./listOtherQuotaHubs.js";
import type { QuotaRow } from "./quotaRow.js";

/** Returns the hub that hands out the tokens of a quota which is too small to be stored by zone, or undefined if it isn't. */
export const centralHub = (context: GatewayContext, row: QuotaRow): InstanceId | undefined => {
    if (!row.bounds.isCentral) {
        return undefined;
    }
    const { members, settings } = context;
    const zoneOf = (id: InstanceId): string => members.find(each => each.id === id)?.zone ?? settings.zone;
    const hubs = [settings.instanceId, ...listOtherQuotaHubs(context)]
        .sort((one, other) => (zoneOf(one) < zoneOf(other) ? -1 : 1));
    return hubs[Math.floor(hashText(row.workspace) * hubs.length)];
};
