import murmur from "imurmurhash";
import type { GossipEntry } from "./gossipEntry.js";

interface TableRow {
    entry: GossipEntry;
    sendCount: number;
}

const MIN_SEND_COUNT = 4;
/** Times that each member sends a calm entry. With three, 19 of 20 members receive it before they pull. */
const CALM_SEND_COUNT = 3;

/** Creates the table of gossip entries. Each is sent a number of times that grows with the logarithm of the group's size. */
export const createGossipTable = (groupSize: () => number) => {
    const rows = new Map<string, TableRow>();
    /** Entries that still have to be sent, the newest last. */
    const spreading = new Map<string, TableRow>();

    /** Digest of the entries for all zones. Equal tables have equal digests, in whatever order their entries arrived. */
    let digest = 0;
    const updateDigest = (entry: GossipEntry | undefined): void => {
        if (entry !== undefined && entry.zone === undefined) {
            digest ^= murmur(`${entry.key}@${entry.version}`).result();
        }
    };

    const getMaxSendCount = ({ calm }: GossipEntry): number =>
        (calm === true ? CALM_SEND_COUNT : MIN_SEND_COUNT + 2 * Math.ceil(Math.log2(groupSize() + 1)));

    return {
        /** Stores an entry if it is newer than the known one. Returns whether it was. */
        merge: (entry: GossipEntry): boolean => {
            const known = rows.get(entry.key);
            if (known !== undefined && known.entry.version >= entry.version) {
                return false;
            }
            updateDigest(known?.entry);
            updateDigest(entry);
            const row = { entry, sendCount: 0 };
            rows.set(entry.key, row);
            spreading.delete(entry.key);
            spreading.set(entry.key, row);
            return true;
        },
        digest: (): number => digest,
        version: (key: string): number => rows.get(key)?.entry.version ?? 0,
        /** Picks the entries for one message to a peer of the given zone, the least sent first. */
        pick: (zone: string, limit: number): GossipEntry[] => {
            const eligible = [...spreading.values()].filter(row => row.entry.zone === undefined || row.entry.zone === zone);
            const chosen = eligible.sort((a, b) => a.sendCount - b.sendCount).slice(0, limit);
            for (const row of chosen) {
                row.sendCount += 1;
                if (row.sendCount >= getMaxSendCount(row.entry)) {
                    spreading.delete(row.entry.key);
                }
            }
            return chosen.map(row => row.entry);
        },
        /** Returns the entries that are limited to a zone, and those for all zones if `includeAllZones`. */
        listForZone: (zone: string, includeAllZones = true): GossipEntry[] =>
            [...rows.values()].map(row => row.entry)
                .filter(entry => (entry.zone === undefined ? includeAllZones : entry.zone === zone)),
        size: () => rows.size,
    };
};
