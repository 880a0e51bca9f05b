import type { Rumour } from "./rumour.js";

interface Entry {
    rumour: Rumour;
    sends: number;
}

const MIN_SENDS = 4;

/** Creates the table of rumours. A rumour is sent a number of times that grows with the logarithm of the group. */
export const createRumourTable = (groupSize: () => number) => {
    const entries = new Map<string, Entry>();
    /** Rumours that still have to be sent, the newest last. */
    const hot = new Map<string, Entry>();

    const maxSends = (): number => MIN_SENDS + 2 * Math.ceil(Math.log2(groupSize() + 1));

    return {
        /** Takes over a rumour if it is newer. Returns whether it was. */
        take: (rumour: Rumour): boolean => {
            const known = entries.get(rumour.key);
            if (known !== undefined && known.rumour.version >= rumour.version) {
                return false;
            }
            const entry = { rumour, sends: 0 };
            entries.set(rumour.key, entry);
            hot.delete(rumour.key);
            hot.set(rumour.key, entry);
            return true;
        },
        version: (key: string): number => entries.get(key)?.rumour.version ?? 0,
        /** Picks rumours for one message to a peer of the given zone, the least sent first. */
        pick: (zone: string, limit: number): Rumour[] => {
            const fitting = [...hot.values()].filter(entry => entry.rumour.zone === undefined || entry.rumour.zone === zone);
            const chosen = fitting.sort((a, b) => a.sends - b.sends).slice(0, limit);
            for (const entry of chosen) {
                entry.sends += 1;
                if (entry.sends >= maxSends()) {
                    hot.delete(entry.rumour.key);
                }
            }
            return chosen.map(entry => entry.rumour);
        },
        all: (zone: string): Rumour[] =>
            [...entries.values()].map(entry => entry.rumour).filter(rumour => rumour.zone === undefined || rumour.zone === zone),
        size: () => entries.size,
    };
};
