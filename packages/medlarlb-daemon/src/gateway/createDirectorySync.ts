import type { InstanceId } from "medlarlb-types/instanceId";
import type { ListedInstance } from "medlarlb-types/listedInstance";
import type { MetadataStore } from "medlarlb-types/metadataStore";
import type { StoreEntry } from "medlarlb-types/storeEntry";
import type { TargetId } from "medlarlb-types/targetId";
import type { ZoneId } from "medlarlb-types/zoneId";
import type { DirectoryHandlers } from "./directoryHandlers.js";
import { directoryKeys } from "./directoryKeys.js";

interface DirectoryOptions {
    store: MetadataStore;
    now: () => number;
    /** Keys that others write: the operator's document, and the prefix of the targets' entries. */
    configKey: string;
    targetPrefix: string;
    /** Instances that the store lists. */
    instanceCount: () => number;
    handlers: DirectoryHandlers;
}

/** Longest time in ms that a watch waits for a change. A silent connection is found within this and its slack. */
const WATCH_MS = 1_000;
/**
 * Pause in ms between watches, so that changes that come together cost one call. It grows with the number of instances,
 * which share the store's rate and hear of what is urgent from each other, up to a part of the time that the operator's
 * changes may take.
 */
const PAUSE_MS = 250;
const MAX_PAUSE_MS = 1_000;
/** Instances up to which the shortest pause holds. */
const SHORT_PAUSE_INSTANCES = 16;
/** Pause in ms after a failed call; it doubles up to the longest. */
const RETRY_MS = 100;
const MAX_RETRY_MS = 800;
/** Time in ms after an outage in which a removed entry may come back, so that its target isn't given up yet. */
const RETURN_MS = 2_200;

const pause = (ms: number): Promise<void> => new Promise(resolve => setTimeout(resolve, ms));

/** Creates the follower of the store: the operator's configuration, targets, instances, and planners. */
export const createDirectorySync = ({ store, now, configKey, targetPrefix, instanceCount, handlers }: DirectoryOptions) => {
    const known = new Map<string, StoreEntry>();
    const leaving = new Map<string, NodeJS.Timeout>();
    let revision: number | undefined;
    let stopped = false;
    let failures = 0;
    let outageEndedMs = Number.NEGATIVE_INFINITY;

    const listInstances = (): ListedInstance[] =>
        [...known.values()].filter(item => item.key.startsWith(directoryKeys.instance(""))).flatMap(item => {
            try {
                const { zone } = JSON.parse(item.value ?? "") as { zone: ZoneId };
                const id = item.key.slice(directoryKeys.instance("").length);
                return [{ id, role: "daemon" as const, zone, address: id, state: "live" as const }];
            }
            catch {
                return [];
            }
        });

    const listPlanners = (): Map<ZoneId, { instance: InstanceId; revision: number }> => {
        const prefix = directoryKeys.planner("");
        return new Map([...known.values()].filter(item => item.key.startsWith(prefix))
            .map(item => [item.key.slice(prefix.length) as ZoneId, { instance: (item.value ?? "") as InstanceId, revision: item.revision }]));
    };

    const removeTarget = (key: string): void => {
        const targetId = key.slice(targetPrefix.length) as TargetId;
        const sinceOutageMs = now() - outageEndedMs;
        if (sinceOutageMs >= RETURN_MS) {
            handlers.onTargetGone(targetId);
        }
        else if (!leaving.has(key)) {
            leaving.set(key, setTimeout(() => {
                leaving.delete(key);
                handlers.onTargetGone(targetId);
            }, RETURN_MS - sinceOutageMs));
        }
    };

    const takeItem = (item: StoreEntry): boolean => {
        const before = known.get(item.key);
        if (before !== undefined && before.revision >= item.revision) {
            return false;
        }
        if (item.value === undefined) {
            known.delete(item.key);
        }
        else {
            known.set(item.key, item);
        }
        if (item.key === configKey && item.value !== undefined) {
            handlers.onConfig(item.value);
        }
        else if (item.key.startsWith(targetPrefix)) {
            clearTimeout(leaving.get(item.key));
            leaving.delete(item.key);
            if (item.value === undefined) {
                removeTarget(item.key);
            }
            else if (item.value !== before?.value) {
                handlers.onTargetEntry(item.key.slice(targetPrefix.length), item.value);
            }
        }
        return item.key.startsWith(directoryKeys.prefix) && item.value !== before?.value;
    };

    const takeItems = (items: StoreEntry[]): void => {
        const ownChanged = items.map(takeItem).some(Boolean);
        if (ownChanged || revision === undefined) {
            handlers.onInstances(listInstances());
            handlers.onPlanners(listPlanners());
        }
    };

    const readAll = async (): Promise<boolean> => {
        const list = await store.list("");
        if (list.isErr) {
            return fail(list.error.message);
        }
        succeed();
        const present = new Set(list.value.items.map(item => item.key));
        const removed = [...known.values()].filter(item => !present.has(item.key))
            .map(item => ({ key: item.key, value: undefined, revision: Math.max(item.revision + 1, list.value.revision) }));
        takeItems([...list.value.items, ...removed]);
        revision = list.value.revision;
        return true;
    };

    const watchOnce = async (after: number): Promise<boolean> => {
        const changes = await store.watch("", after, WATCH_MS);
        if (changes.isErr) {
            if (changes.error.kind === "compacted") {
                revision = undefined;
                return true;
            }
            return fail(changes.error.message);
        }
        succeed();
        takeItems(changes.value.items);
        revision = Math.max(after, changes.value.revision);
        return true;
    };

    const fail = (reason: string): boolean => {
        failures += 1;
        if (failures === 2) {
            handlers.onContact(false, reason);
        }
        return false;
    };

    const succeed = (): void => {
        if (failures >= 2) {
            outageEndedMs = now();
            handlers.onContact(true, "the store answers again");
        }
        failures = 0;
    };

    const pauseMs = (): number => Math.min(MAX_PAUSE_MS, PAUSE_MS * Math.max(1, instanceCount() / SHORT_PAUSE_INSTANCES));

    const run = async (): Promise<void> => {
        while (!stopped) {
            const done = revision === undefined ? await readAll() : await watchOnce(revision);
            await pause(done ? pauseMs() : Math.min(MAX_RETRY_MS, RETRY_MS * 2 ** failures));
        }
    };

    return {
        start: (): void => void run(),
        items: (): StoreEntry[] => [...known.values()],
        /** Whether the store itself has been read. Until then items of other instances are taken over. */
        isRead: (): boolean => revision !== undefined,
        takeFromPeer: (items: StoreEntry[]): void => {
            if (revision === undefined) {
                takeItems(items);
            }
        },
        stop: (): void => {
            stopped = true;
            leaving.forEach(timer => clearTimeout(timer));
        },
    };
};
