import type { Resource } from "medlarlb-types/resource";
import type { ResourceKind } from "medlarlb-types/resourceKind";

interface ResourceEvent {
    type: "ADDED" | "MODIFIED" | "DELETED";
    sequence: number;
    object: Resource;
}

const SCAN_MS = 200;
const MAX_EVENTS = 2_000;
const FORGET_MS = 60_000;

interface KindFeed {
    shown: Map<string, { text: string; object: Resource }>;
    events: ResourceEvent[];
    /** Sequence number of the last event that was dropped. */
    dropped: number;
    usedAtMs: number;
}

/**
 * Creates the watches of resources. While a kind is watched, its resources are compared with what was shown last,
 * so that changes of status are seen as well as changes of the spec.
 */
export const createWatchCache = (show: (kind: ResourceKind) => Resource[], now: () => number) => {
    const feeds = new Map<ResourceKind, KindFeed>();
    const listeners = new Set<() => void>();
    let sequence = 0;

    const record = (feed: KindFeed, type: ResourceEvent["type"], object: Resource): void => {
        sequence += 1;
        feed.events.push({ type, sequence, object });
        if (feed.events.length > MAX_EVENTS) {
            feed.dropped = feed.events.shift()?.sequence ?? feed.dropped;
        }
    };

    const scan = (kind: ResourceKind, feed: KindFeed): void => {
        const objects = show(kind);
        const names = new Set(objects.map(object => object.name));
        for (const object of objects) {
            const text = JSON.stringify(object);
            const before = feed.shown.get(object.name);
            if (before?.text !== text) {
                feed.shown.set(object.name, { text, object });
                record(feed, before === undefined ? "ADDED" : "MODIFIED", object);
            }
        }
        for (const [name, { object }] of [...feed.shown]) {
            if (!names.has(name)) {
                feed.shown.delete(name);
                record(feed, "DELETED", object);
            }
        }
    };

    const open = (kind: ResourceKind): KindFeed => {
        const feed = feeds.get(kind) ?? { shown: new Map(), events: [], dropped: sequence, usedAtMs: 0 };
        feeds.set(kind, feed);
        feed.usedAtMs = now();
        return feed;
    };

    const scanAll = (): void => {
        for (const [kind, feed] of [...feeds]) {
            if (now() - feed.usedAtMs > FORGET_MS) {
                feeds.delete(kind);
            }
            else {
                scan(kind, feed);
            }
        }
        listeners.forEach(listener => listener());
    };

    const timer = setInterval(scanAll, SCAN_MS);
    return {
        /** Lists a kind with the place from which a watch goes on. */
        list: (kind: ResourceKind): { items: Resource[]; sequence: number } => {
            const feed = open(kind);
            scan(kind, feed);
            return { items: [...feed.shown.values()].map(each => each.object), sequence };
        },
        /** Events of a kind after a place, or undefined where they are gone. */
        after: (kind: ResourceKind, from: number): ResourceEvent[] | undefined => {
            const feed = open(kind);
            return from < feed.dropped ? undefined : feed.events.filter(event => event.sequence > from);
        },
        onScan: (listener: () => void): (() => void) => {
            listeners.add(listener);
            return () => listeners.delete(listener);
        },
        stop: (): void => clearInterval(timer),
    };
};
