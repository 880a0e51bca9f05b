import murmur from "imurmurhash";
import type { GossipEntry } from "./gossipEntry.js";

interface TableEntry {
    gossip: GossipEntry;
    sendCount: number;
}

/** Number of times that each member sends an entry that isn't calm, without the part that grows with the group. */
const BASE_SEND_COUNT = 4;
/** Number of times that each member sends a calm entry. With three, 19 of 20 members receive the entry before they pull. */
const CALM_SEND_COUNT = 3;

/**
 * Creates the table of gossip entries. An entry is sent a limited number of times, which grows with the logarithm of the
 * group size unless the entry is calm.
 */
export const createGossipTable = (groupSize: () => number) => {
    const entries = new Map<string, TableEntry>();
    /** Entries that still have to be sent, the newest last. */
    const pendingEntries = new Map<string, TableEntry>();

    /** Digest of the entries for all zones. It doesn't depend on the order in which they arrived. */
    let digest = 0;
    const toggleInDigest = (gossip: GossipEntry | undefined): void => {
        if (gossip !== undefined && gossip.zone === undefined) {
            digest ^= murmur(`${gossip.key}@${gossip.version}`).result();
        }
    };

    const getMaxSendCount = ({ calm }: GossipEntry): number =>
        (calm === true ? CALM_SEND_COUNT : BASE_SEND_COUNT + 2 * Math.ceil(Math.log2(groupSize() + 1)));

    return {
        /** Stores an entry if it is newer than the known one under its key. Returns whether it was stored. */
        merge: (gossip: GossipEntry): boolean => {
            const known = entries.get(gossip.key);
            if (known !== undefined && known.gossip.version >= gossip.version) {
                return false;
            }
            toggleInDigest(known?.gossip);
            toggleInDigest(gossip);
            const entry = { gossip, sendCount: 0 };
            entries.set(gossip.key, entry);
            pendingEntries.delete(gossip.key);
            pendingEntries.set(gossip.key, entry);
            return true;
        },
        digest: (): number => digest,
        version: (key: string): number => entries.get(key)?.gossip.version ?? 0,
        /** Picks entries for one message to a peer of the given zone, those that were sent least often first. */
        pick: (zone: string, limit: number): GossipEntry[] => {
            const candidates = [...pendingEntries.values()].filter(entry => entry.gossip.zone === undefined || entry.gossip.zone === zone);
            const chosen = candidates.sort((a, b) => a.sendCount - b.sendCount).slice(0, limit);
            for (const entry of chosen) {
                entry.sendCount += 1;
                if (entry.sendCount >= getMaxSendCount(entry.gossip)) {
                    pendingEntries.delete(entry.gossip.key);
                }
            }
            return chosen.map(entry => entry.gossip);
        },
        /** Returns the entries that are limited to a zone and, if `includeCommon` is set, those for all zones. */
        list: (zone: string, includeCommon = true): GossipEntry[] =>
            [...entries.values()].map(entry => entry.gossip)
                .filter(gossip => (gossip.zone === undefined ? includeCommon : gossip.zone === zone)),
        size: () => entries.size,
    };
};
