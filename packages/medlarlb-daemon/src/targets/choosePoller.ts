import murmurHash from "imurmurhash";

interface Member {
    id: string;
    zone: string;
}

/**
 * Returns the id of the instance that polls a target, by rendezvous hashing over the members of its zone, or over all
 * members if the zone has none. All members choose the same instance without messages, and the loss of a member
 * reassigns only that member's targets.
 */
export const choosePoller = (targetId: string, zone: string, members: readonly Member[]): string | undefined => {
    const zoneMembers = members.filter(member => member.zone === zone);
    const candidates = zoneMembers.length > 0 ? zoneMembers : members;
    let best: { id: string; score: number } | undefined;
    for (const { id } of candidates) {
        const score = murmurHash(`${targetId}/${id}`, 0).result();
        if (best === undefined || score > best.score) {
            best = { id, score };
        }
    }
    return best?.id;
};
