import type { InstanceId } from "medlarlb-types/instanceId";
import type { ZoneId } from "medlarlb-types/zoneId";
import type { GatewayContext } from "../gatewayContext.js";
import { isLargeGroup } from "../status/isLargeGroup.js";

/** Instances of each other zone that are told directly and tell their zone, so that one that doesn't respond isn't missed. */
const RELAYS_PER_ZONE = 2;

/** Lists the instances that are told what this one has observed: all or, in a large group, its own zone and two of each other zone. */
export const listObservationRecipients = (context: GatewayContext): InstanceId[] => {
    if (!isLargeGroup(context)) {
        return context.members.map(member => member.id);
    }
    const recipients: InstanceId[] = [];
    const zones = new Map<ZoneId, InstanceId[]>();
    for (const { id, zone } of context.members) {
        if (zone === context.settings.zone) {
            recipients.push(id);
        }
        else {
            zones.set(zone, [...zones.get(zone) ?? [], id]);
        }
    }
    for (const ids of zones.values()) {
        const firstIndex = Math.floor(context.random() * ids.length);
        for (let count = 0; count < Math.min(RELAYS_PER_ZONE, ids.length); count += 1) {
            recipients.push(ids[(firstIndex + count) % ids.length] as InstanceId);
        }
    }
    return recipients;
};
