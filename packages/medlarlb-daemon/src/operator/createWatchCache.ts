import type { Resource } from "medlarlb-types/resource";
import type { ResourceKind } from "medlarlb-types/resourceKind";

interface ResourceEvent {
    type: "ADDED" | "MODIFIED" | "DELETED";
    sequence: number;
    object: Resource;
}

const SCAN_INTERVAL_MS = 200;
const MAX_EVENT_COUNT = 2_000;
const UNUSED_CACHE_TTL_MS = 60_000;

interface KindCache {
    resources: Map<string, { text: string; object: Resource }>;
    events: ResourceEvent[];
    /** Sequence number of the last event that was dropped. */
    lastDropped: number;
    usedAtMs: number;
}

/**
 * Creates the watches of resources. While a kind is watched, its resources are compared with what was shown last,
 * so that changes of status are seen as well as changes of the spec.
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
        /** Lists a kind with the place from which a watch goes on. */
        list: (kind: ResourceKind): { items: Resource[]; sequence: number } => {
            const cache = openCache(kind);
            scan(kind, cache);
            return { items: [...cache.resources.values()].map(each => each.object), sequence };
        },
        /** Events of a kind after a place, or undefined where they are gone. */
        after: (kind: ResourceKind, from: number): ResourceEvent[] | undefined => {
            const cache = openCache(kind);
            return from < cache.lastDropped ? undefined : cache.events.filter(event => event.sequence > from);
        },
        onScan: (listener: () => void): (() => void) => {
            listeners.add(listener);
            return () => listeners.delete(listener);
        },
        stop: (): void => clearInterval(timer),
    };
};
