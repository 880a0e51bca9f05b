import murmur from "imurmurhash";
import type { InstanceId } from "medlarlb-types/instanceId";
import type { ZoneId } from "medlarlb-types/zoneId";
import type { GatewayContext } from "../gatewayContext.js";

interface RingPlace {
    id: InstanceId;
    point: number;
}

/** The members of each zone on a ring, in the order of their hashes. It is computed anew only for another list of members. */
const ringsByMembers = new WeakMap<GatewayContext["members"], Map<ZoneId, RingPlace[]>>();

const listRings = (members: GatewayContext["members"]): Map<ZoneId, RingPlace[]> => {
    const known = ringsByMembers.get(members);
    if (known !== undefined) {
        return known;
    }
    const rings = new Map<ZoneId, RingPlace[]>();
    for (const { id, zone } of members) {
        rings.set(zone, [...rings.get(zone) ?? [], { id, point: murmur(id).result() }]);
    }
    rings.forEach(ring => ring.sort((one, other) => one.point - other.point));
    ringsByMembers.set(members, rings);
    return rings;
};

/**
 * Ranks the other instances as holders of a stream's origin by consistent hashing, so that all choose the same ones without a
 * message, also if their lists of members differ a little: the first of each zone, this one's before the others', then the second
 * of each.
 */
export const rankOriginHolders = (context: GatewayContext, requestId: string): { id: InstanceId; place: number }[] => {
    const key = murmur(requestId).result();
    const { zone: ownZone } = context.settings;
    const ranked = [...listRings(context.members)].flatMap(([zone, ring]) => {
        const first = Math.max(0, ring.findIndex(({ point }) => point >= key));
        const holders = [0, 1].slice(0, ring.length).map(place => ({ place, member: ring[(first + place) % ring.length] as RingPlace }));
        // The distance on the ring orders the zones, for each stream in another way.
        return holders.map(({ place, member }) => ({ id: member.id, place, zone, distance: (member.point - key) >>> 0 }));
    });
    return ranked.sort((one, other) =>
        one.place - other.place || Number(other.zone === ownZone) - Number(one.zone === ownZone) || one.distance - other.distance);
};
