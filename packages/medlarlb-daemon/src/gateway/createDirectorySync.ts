import type { InstanceId } from "medlarlb-types/instanceId";
import type { ListedInstance } from "medlarlb-types/listedInstance";
import type { MetadataStore } from "medlarlb-types/metadataStore";
import type { StoreEntry } from "medlarlb-types/storeEntry";
import type { TargetId } from "medlarlb-types/targetId";
import type { ZoneId } from "medlarlb-types/zoneId";
import type { DirectoryHandlers } from "./directoryHandlers.js";
import { directoryKeys } from "./directoryKeys.js";

interface DirectorySyncOptions {
    store: MetadataStore;
    now: () => number;
    /** Key of the operator's configuration document, and prefix of the keys under which targets register. */
    configKey: string;
    targetPrefix: string;
    /** Returns the number of instances that the store lists. */
    instanceCount: () => number;
    handlers: DirectoryHandlers;
}

/**
 * Longest time in ms that a watch waits for a change. A dead connection is detected after this time and the store
 * client's margin.
 */
const WATCH_TIMEOUT_MS = 1_000;
/**
 * Shortest pause in ms between watches, so that changes close together cost one call. The pause grows with the number of
 * instances, because they share the store's call rate and send urgent changes to each other. The longest pause is part
 * of the time within which a change by the operator has to take effect.
 */
const MIN_WATCH_PAUSE_MS = 250;
const MAX_WATCH_PAUSE_MS = 1_000;
/** Number of instances up to which the shortest pause applies. */
const FULL_RATE_INSTANCE_COUNT = 16;
/** Base delay in ms before a failed call is retried. Each consecutive failure, also the first, doubles it up to the longest delay. */
const RETRY_DELAY_MS = 100;
const MAX_RETRY_DELAY_MS = 800;
/** Time in ms after a store outage during which a removed target isn't reported as gone, because its entry may reappear. */
const REMOVAL_GRACE_MS = 2_200;

const delay = (ms: number): Promise<void> => new Promise(resolve => setTimeout(resolve, ms));

/** Creates the watcher of the store, which reports changes of the configuration, targets, instances and planners. */
export const createDirectorySync = ({ store, now, configKey, targetPrefix, instanceCount, handlers }: DirectorySyncOptions) => {
    const entriesByKey = new Map<string, StoreEntry>();
    const pendingRemovals = new Map<string, NodeJS.Timeout>();
    let revision: number | undefined;
    let stopped = false;
    let consecutiveFailures = 0;
    let outageEndedAtMs = Number.NEGATIVE_INFINITY;

    const listInstances = (): ListedInstance[] =>
        [...entriesByKey.values()].filter(entry => entry.key.startsWith(directoryKeys.instance(""))).flatMap(entry => {
            try {
                const { zone } = JSON.parse(entry.value ?? "") as { zone: ZoneId };
                const id = entry.key.slice(directoryKeys.instance("").length);
                return [{ id, role: "daemon" as const, zone, address: id, state: "live" as const }];
            }
            catch {
                return [];
            }
        });

    const listPlanners = (): Map<ZoneId, { instance: InstanceId; revision: number }> => {
        const prefix = directoryKeys.planner("");
        return new Map([...entriesByKey.values()].filter(entry => entry.key.startsWith(prefix))
            .map(entry => [entry.key.slice(prefix.length) as ZoneId, { instance: (entry.value ?? "") as InstanceId, revision: entry.revision }]));
    };

    const removeTarget = (key: string): void => {
        const targetId = key.slice(targetPrefix.length) as TargetId;
        const sinceOutageMs = now() - outageEndedAtMs;
        if (sinceOutageMs >= REMOVAL_GRACE_MS) {
            handlers.onTargetGone(targetId);
        }
        else if (!pendingRemovals.has(key)) {
            pendingRemovals.set(key, setTimeout(() => {
                pendingRemovals.delete(key);
                handlers.onTargetGone(targetId);
            }, REMOVAL_GRACE_MS - sinceOutageMs));
        }
    };

    const applyEntry = (entry: StoreEntry): boolean => {
        const previous = entriesByKey.get(entry.key);
        if (previous !== undefined && previous.revision >= entry.revision) {
            return false;
        }
        if (entry.value === undefined) {
            entriesByKey.delete(entry.key);
        }
        else {
            entriesByKey.set(entry.key, entry);
        }
        if (entry.key === configKey && entry.value !== undefined) {
            handlers.onConfig(entry.value);
        }
        else if (entry.key.startsWith(targetPrefix)) {
            clearTimeout(pendingRemovals.get(entry.key));
            pendingRemovals.delete(entry.key);
            if (entry.value === undefined) {
                removeTarget(entry.key);
            }
            else if (entry.value !== previous?.value) {
                handlers.onTargetEntry(entry.key.slice(targetPrefix.length), entry.value);
            }
        }
        return entry.key.startsWith(directoryKeys.prefix) && entry.value !== previous?.value;
    };

    const applyEntries = (entries: StoreEntry[]): void => {
        const instancesOrPlannersChanged = entries.map(applyEntry).some(Boolean);
        if (instancesOrPlannersChanged || revision === undefined) {
            handlers.onInstances(listInstances());
            handlers.onPlanners(listPlanners());
        }
    };

    const readAll = async (): Promise<boolean> => {
        const list = await store.list("");
        if (list.isErr) {
            return recordFailure(list.error.message);
        }
        recordSuccess();
        const listedKeys = new Set(list.value.items.map(entry => entry.key));
        // An entry that isn't listed any more counts as removed. Its revision has to exceed the known one to be applied.
        const removed = [...entriesByKey.values()].filter(entry => !listedKeys.has(entry.key))
            .map(entry => ({ key: entry.key, value: undefined, revision: Math.max(entry.revision + 1, list.value.revision) }));
        applyEntries([...list.value.items, ...removed]);
        revision = list.value.revision;
        return true;
    };

    const watchOnce = async (after: number): Promise<boolean> => {
        const changes = await store.watch("", after, WATCH_TIMEOUT_MS);
        if (changes.isErr) {
            if (changes.error.kind === "compacted") {
                revision = undefined;
                return true;
            }
            return recordFailure(changes.error.message);
        }
        recordSuccess();
        applyEntries(changes.value.items);
        revision = Math.max(after, changes.value.revision);
        return true;
    };

    /** Counts a failed call. The store counts as unreachable from the second consecutive failure on. */
    const recordFailure = (reason: string): boolean => {
        consecutiveFailures += 1;
        if (consecutiveFailures === 2) {
            handlers.onReachabilityChange(false, reason);
        }
        return false;
    };

    const recordSuccess = (): void => {
        if (consecutiveFailures >= 2) {
            outageEndedAtMs = now();
            handlers.onReachabilityChange(true, "the store answers again");
        }
        consecutiveFailures = 0;
    };

    const watchPauseMs = (): number =>
        Math.min(MAX_WATCH_PAUSE_MS, MIN_WATCH_PAUSE_MS * Math.max(1, instanceCount() / FULL_RATE_INSTANCE_COUNT));

    const followStore = async (): Promise<void> => {
        while (!stopped) {
            const succeeded = revision === undefined ? await readAll() : await watchOnce(revision);
            await delay(succeeded ? watchPauseMs() : Math.min(MAX_RETRY_DELAY_MS, RETRY_DELAY_MS * 2 ** consecutiveFailures));
        }
    };

    return {
        start: (): void => void followStore(),
        items: (): StoreEntry[] => [...entriesByKey.values()],
        /**
         * Returns whether the store itself has been read. Entries from other instances are applied until then, and after a
         * compaction until the store has been read again.
         */
        hasReadStore: (): boolean => revision !== undefined,
        applyPeerEntries: (entries: StoreEntry[]): void => {
            if (revision === undefined) {
                applyEntries(entries);
            }
        },
        stop: (): void => {
            stopped = true;
            pendingRemovals.forEach(timer => clearTimeout(timer));
        },
    };
};
