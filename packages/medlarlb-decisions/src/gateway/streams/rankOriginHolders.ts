import murmur from "imurmurhash";
import type { InstanceId } from "medlarlb-types/instanceId";
import type { ZoneId } from "medlarlb-types/zoneId";
import type { GatewayContext } from "../gatewayContext.js";

/**
 * Ranks the other instances as holders of a stream's origin by rendezvous hashing, so that all choose the same ones without a
 * message: the first of each zone, this one's before the others', then the second of each.
 */
export const rankOriginHolders = (context: GatewayContext, requestId: string): { id: InstanceId; place: number }[] => {
    const zones = new Map<ZoneId, { id: InstanceId; rank: number }[]>();
    for (const { id, zone } of context.members) {
        zones.set(zone, [...zones.get(zone) ?? [], { id, rank: murmur(`${requestId}/${id}`).result() }]);
    }
    const { zone: ownZone } = context.settings;
    const ranked = [...zones].flatMap(([zone, members]) => members.sort((one, other) => other.rank - one.rank)
        .map((each, place) => ({ ...each, place, isOwnZone: zone === ownZone })));
    return ranked.sort((one, other) =>
        one.place - other.place || Number(other.isOwnZone) - Number(one.isOwnZone) || other.rank - one.rank);
};
