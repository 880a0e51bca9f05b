import murmur from "imurmurhash";
import type { InstanceId } from "medlarlb-types/instanceId";
import { isLargeGroup } from "./isLargeGroup.js";

interface Peer {
    id: InstanceId;
    zone: string;
    address: string;
}

/** Part of the ring that a long link spans, so that gossip crosses a large ring in few steps. */
const LONG_LINK_RATIO = 1 / 3;

const hash = (text: string): number => murmur(text).result();

/**
 * Lists the members with which an instance exchanges probes and gossip: all of a small group. In a large group they are two
 * on a ring in the order of hashed ids and the given hubs. They stay the same while the group does, so that connections are
 * used again: a handshake costs more than many messages.
 */
export const listNeighbors = (self: InstanceId, members: readonly Peer[], hubs: readonly InstanceId[]): Peer[] => {
    if (!isLargeGroup(members.length)) {
        return [...members];
    }
    const ownHash = hash(self);
    const ring = members.map(peer => ({ peer, distance: (hash(peer.id) - ownHash) >>> 0 }))
        .sort((one, other) => one.distance - other.distance);
    const links = [0, Math.floor(ring.length * LONG_LINK_RATIO)].flatMap(position => ring[position]?.peer ?? []);
    return [...new Set([...links, ...members.filter(member => hubs.includes(member.id))])];
};
