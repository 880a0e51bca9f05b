import type { InstanceId } from "medlarlb-types/instanceId";
import type { ZoneId } from "medlarlb-types/zoneId";
import type { GatewayContext } from "../gatewayContext.js";

/** Age in ms up to which the sender of the sum over a zone counts as its hub. */
const MAX_HUB_AGE_MS = 1_500;

/** Lists the hubs of the other zones: those that sent the sum over their zone, or else the first of each zone's order. */
export const listOtherQuotaHubs = ({ members, planners, zoneHubs, nowMs, settings }: GatewayContext): InstanceId[] => {
    const hubs = new Map<ZoneId, InstanceId>();
    for (const { id, zone } of members) {
        const known = hubs.get(zone);
        if (zone !== settings.zone && (known === undefined || id < known)) {
            hubs.set(zone, id);
        }
    }
    const isMember = (id: InstanceId): boolean => members.some(each => each.id === id);
    for (const zone of hubs.keys()) {
        const sender = zoneHubs.get(zone);
        const hub = sender !== undefined && nowMs - sender.atMs < MAX_HUB_AGE_MS ? sender.id : planners.get(zone);
        if (hub !== undefined && isMember(hub)) {
            hubs.set(zone, hub);
        }
    }
    return [...hubs.values()];
};
