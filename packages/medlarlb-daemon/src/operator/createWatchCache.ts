import type { Resource } from "medlarlb-types/resource";
import type { ResourceKind } from "medlarlb-types/resourceKind";

interface ResourceEvent {
    type: "ADDED" | "MODIFIED" | "DELETED";
    sequence: number;
    object: Resource;
}

const SCAN_INTERVAL_MS = 200;
const MAX_EVENT_COUNT = 2_000;
const UNUSED_CACHE_TTL_MS = 60_000; // a kind that nobody listed or watched for this long is dropped

interface KindCache {
    /** Resources as of the last scan, by name. */
    resources: Map<string, { text: string; object: Resource }>;
    events: ResourceEvent[];
    /** Sequence number of the last event that was dropped. */
    lastDropped: number;
    /** Time of the last list or read of events. */
    usedAtMs: number;
}

/**
 * Creates the cache that watches of resources read from. While a kind is listed or watched, its resources are compared with those
 * of the previous scan at intervals. The comparison finds changes of status as well as changes of the spec.
 */
export const createWatchCache = (readResources: (kind: ResourceKind) => Resource[], now: () => number) => {
    const caches = new Map<ResourceKind, KindCache>();
    const listeners = new Set<() => void>();
    let sequence = 0;

    const addEvent = (cache: KindCache, type: ResourceEvent["type"], object: Resource): void => {
        sequence += 1;
        cache.events.push({ type, sequence, object });
        if (cache.events.length > MAX_EVENT_COUNT) {
            cache.lastDropped = cache.events.shift()?.sequence ?? cache.lastDropped;
        }
    };

    const scan = (kind: ResourceKind, cache: KindCache): void => {
        const objects = readResources(kind);
        const names = new Set(objects.map(object => object.name));
        for (const object of objects) {
            const text = JSON.stringify(object);
            const previous = cache.resources.get(object.name);
            if (previous?.text !== text) {
                cache.resources.set(object.name, { text, object });
                addEvent(cache, previous === undefined ? "ADDED" : "MODIFIED", object);
            }
        }
        for (const [name, { object }] of [...cache.resources]) {
            if (!names.has(name)) {
                cache.resources.delete(name);
                addEvent(cache, "DELETED", object);
            }
        }
    };

    const openCache = (kind: ResourceKind): KindCache => {
        const cache = caches.get(kind) ?? { resources: new Map(), events: [], lastDropped: sequence, usedAtMs: 0 };
        caches.set(kind, cache);
        cache.usedAtMs = now();
        return cache;
    };

    const scanAll = (): void => {
        for (const [kind, cache] of [...caches]) {
            if (now() - cache.usedAtMs > UNUSED_CACHE_TTL_MS) {
                caches.delete(kind);
            }
            else {
                scan(kind, cache);
            }
        }
        listeners.forEach(listener => listener());
    };

    const timer = setInterval(scanAll, SCAN_INTERVAL_MS);
    return {
        /** Returns the resources of a kind and the sequence number from which a watch can continue. */
        list: (kind: ResourceKind): { items: Resource[]; sequence: number } => {
            const cache = openCache(kind);
            scan(kind, cache);
            return { items: [...cache.resources.values()].map(each => each.object), sequence };
        },
        /** Returns the events of a kind after a sequence number, or undefined if some of them have been dropped. */
        after: (kind: ResourceKind, from: number): ResourceEvent[] | undefined => {
            const cache = openCache(kind);
            return from < cache.lastDropped ? undefined : cache.events.filter(event => event.sequence > from);
        },
        /** Calls the listener after each scan. Returns the function that removes it. */
        onScan: (listener: () => void): (() => void) => {
            listeners.add(listener);
            return () => listeners.delete(listener);
        },
        stop: (): void => clearInterval(timer),
    };
};
