import murmur from "imurmurhash";
import type { GossipEntry } from "./gossipEntry.js";

interface Entry {
    gossip: GossipEntry;
    sends: number;
}

const MIN_SENDS = 4;
/** Sends of a calm entry, by each member: with three, 19 of 20 members hear of it before they pull. */
const CALM_SENDS = 3;

/** Creates the table of entries. An entry is sent a number of times that grows with the logarithm of the group. */
export const createGossipTable = (groupSize: () => number) => {
    const entries = new Map<string, Entry>();
    /** Entries that still have to be sent, the newest last. */
    const hot = new Map<string, Entry>();

    /** Digest of the entries for all zones: equal for equal tables, whatever their order of arrival. */
    let digest = 0;
    const mix = (gossip: GossipEntry | undefined): void => {
        if (gossip !== undefined && gossip.zone === undefined) {
            digest ^= murmur(`${gossip.key}@${gossip.version}`).result();
        }
    };

    const maxSends = ({ calm }: GossipEntry): number =>
        (calm === true ? CALM_SENDS : MIN_SENDS + 2 * Math.ceil(Math.log2(groupSize() + 1)));

    return {
        /** Takes over an entry if it is newer. Returns whether it was. */
        merge: (gossip: GossipEntry): boolean => {
            const known = entries.get(gossip.key);
            if (known !== undefined && known.gossip.version >= gossip.version) {
                return false;
            }
            mix(known?.gossip);
            mix(gossip);
            const entry = { gossip, sends: 0 };
            entries.set(gossip.key, entry);
            hot.delete(gossip.key);
            hot.set(gossip.key, entry);
            return true;
        },
        digest: (): number => digest,
        version: (key: string): number => entries.get(key)?.gossip.version ?? 0,
        /** Picks entries for one message to a peer of the given zone, the least sent first. */
        pick: (zone: string, limit: number): GossipEntry[] => {
            const fitting = [...hot.values()].filter(entry => entry.gossip.zone === undefined || entry.gossip.zone === zone);
            const chosen = fitting.sort((a, b) => a.sends - b.sends).slice(0, limit);
            for (const entry of chosen) {
                entry.sends += 1;
                if (entry.sends >= maxSends(entry.gossip)) {
                    hot.delete(entry.gossip.key);
                }
            }
            return chosen.map(entry => entry.gossip);
        },
        /** The entries that concern a zone; those for all zones only if `withCommon`. */
        all: (zone: string, withCommon = true): GossipEntry[] =>
            [...entries.values()].map(entry => entry.gossip)
                .filter(gossip => (gossip.zone === undefined ? withCommon : gossip.zone === zone)),
        size: () => entries.size,
    };
};
