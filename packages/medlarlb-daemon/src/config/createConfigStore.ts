import type { ConfigEntry } from "medlarlb-types/configEntry";

interface ConfigChange {
    revision: number;
    /** Revision that the entries are a change to. If it is 0, the entries are the whole configuration. */
    base: number;
    entries: ConfigEntry[];
}

const MAX_HISTORY_COUNT = 1_000;

/** Creates the store of the current configuration. Its revision only rises. */
export const createConfigStore = (onChange: (change: ConfigChange) => void) => {
    let entries = new Map<string, ConfigEntry>();
    let history: ConfigChange[] = [];
    let revision = 0;

    const listRemovedEntries = (change: ConfigChange): ConfigEntry[] => {
        const keptKeys = new Set(change.entries.map(entry => entry.key));
        return change.base > 0
            ? []
            : [...entries.keys()].filter(key => !keptKeys.has(key)).map(key => ({ key, revision: change.revision }));
    };

    const applyEntries = (change: ConfigChange): void => {
        if (change.base === 0) {
            entries = new Map();
        }
        for (const entry of change.entries) {
            if (entry.value === undefined) {
                entries.delete(entry.key);
            }
            else {
                entries.set(entry.key, entry);
            }
        }
    };

    return {
        revision: () => revision,
        entries: () => entries,
        /** Applies a change if it is newer than the current revision and its base isn't. Returns whether it was applied. */
        apply: (change: ConfigChange): boolean => {
            if (change.revision <= revision || change.base > revision) {
                return false;
            }
            const removed = listRemovedEntries(change);
            applyEntries(change);
            history.push({ revision: change.revision, base: revision, entries: [...change.entries, ...removed] });
            history = history.slice(-MAX_HISTORY_COUNT);
            revision = change.revision;
            onChange(change);
            return true;
        },
        /** Returns the entries that changed after a revision, or all entries with base 0 if the history doesn't reach back that far. */
        since: (from: number): ConfigChange => {
            const oldest = history[0];
            if (from === 0 || oldest === undefined || from < oldest.base || from > revision) {
                return { revision, base: 0, entries: [...entries.values()] };
            }
            const laterChanges = history.filter(change => change.revision > from);
            const latestEntries = new Map(laterChanges.flatMap(change => change.entries).map(entry => [entry.key, entry]));
            return { revision, base: from, entries: [...latestEntries.values()] };
        },
    };
};
