import murmur from "imurmurhash";
import type { GossipEntry } from "./gossipEntry.js";

interface Entry {
    rumour: GossipEntry;
    sends: number;
}

const MIN_SENDS = 4;
/** Sends of a calm rumour by each member: with three, 19 of 20 members hear of it before they pull. */
const CALM_SENDS = 3;

/** Creates the table of rumours. A rumour is sent a number of times that grows with the logarithm of the group. */
export const createGossipTable = (groupSize: () => number) => {
    const entries = new Map<string, Entry>();
    /** Rumours that still have to be sent, the newest last. */
    const hot = new Map<string, Entry>();

    /** Digest of the rumours for all zones: equal tables have the same, in whatever order they heard them. */
    let digest = 0;
    const mix = (rumour: GossipEntry | undefined): void => {
        if (rumour !== undefined && rumour.zone === undefined) {
            digest ^= murmur(`${rumour.key}@${rumour.version}`).result();
        }
    };

    const maxSends = ({ calm }: GossipEntry): number =>
        (calm === true ? CALM_SENDS : MIN_SENDS + 2 * Math.ceil(Math.log2(groupSize() + 1)));

    return {
        /** Takes over a rumour if it is newer. Returns whether it was. */
        merge: (rumour: GossipEntry): boolean => {
            const known = entries.get(rumour.key);
            if (known !== undefined && known.rumour.version >= rumour.version) {
                return false;
            }
            mix(known?.rumour);
            mix(rumour);
            const entry = { rumour, sends: 0 };
            entries.set(rumour.key, entry);
            hot.delete(rumour.key);
            hot.set(rumour.key, entry);
            return true;
        },
        digest: (): number => digest,
        version: (key: string): number => entries.get(key)?.rumour.version ?? 0,
        /** Picks rumours for one message to a peer of the given zone, the least sent first. */
        pick: (zone: string, limit: number): GossipEntry[] => {
            const fitting = [...hot.values()].filter(entry => entry.rumour.zone === undefined || entry.rumour.zone === zone);
            const chosen = fitting.sort((a, b) => a.sends - b.sends).slice(0, limit);
            for (const entry of chosen) {
                entry.sends += 1;
                if (entry.sends >= maxSends(entry.rumour)) {
                    hot.delete(entry.rumour.key);
                }
            }
            return chosen.map(entry => entry.rumour);
        },
        /** The rumours that concern a zone; those for all zones only if `withCommon`. */
        all: (zone: string, withCommon = true): GossipEntry[] =>
            [...entries.values()].map(entry => entry.rumour)
                .filter(rumour => (rumour.zone === undefined ? withCommon : rumour.zone === zone)),
        size: () => entries.size,
    };
};
