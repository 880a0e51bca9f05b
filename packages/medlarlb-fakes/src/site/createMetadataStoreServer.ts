import { createServer } from "node:http";
import type { IncomingMessage } from "node:http";
import { readJson } from "../shared/readJson.js";
import { sendJson } from "../shared/sendJson.js";

/** One key as the store's responses show it. `value` is base64, and `lease` is 0 for a key without a lease. */
interface Item {
    key: string;
    value: string;
    revision: number;
    created_at: number;
    lease: number;
}

/** One change as a watch delivers it. */
type Change = Partial<Item> & { key: string; revision: number; deleted?: boolean };

/** Body of a transaction. It applies only if each key of `precondition` has the given revision (0: the key doesn't exist). */
interface Transaction {
    precondition: { key: string; revision: number }[];
    puts: { key: string; value: string; lease: number }[];
    remove: string[];
}

/** Lease ids may be any whole numbers. */
const FIRST_LEASE = 2 ** 48;

/** State of the store from which it may come back. */
interface Copy {
    items: Item[];
    revision: number;
}

/** Creates a stand-in for the users' metadata store: keys with revisions, conditional transactions, leases and long-polling watches. */
export const createMetadataStoreServer = () => {
    const items = new Map<string, Item>();
    let changes: Change[] = [];
    const leases = new Map<number, { ttlMs: number; timer: NodeJS.Timeout }>();
    const watchers = new Set<() => void>();
    let revision = 1;
    let nextLease = FIRST_LEASE;
    /** Rises each time that the store comes back from a copy. */
    let era = 1;

    const recordChange = (change: Change): void => {
        changes.push(change);
        setImmediate(() => watchers.forEach(check => check()));
    };

    const put = (key: string, value: string, lease = 0): void => {
        revision += 1;
        const item = { key, value: Buffer.from(value).toString("base64"), revision, created_at: items.get(key)?.created_at ?? revision, lease };
        items.set(key, item);
        recordChange(item);
    };

    const remove = (key: string): void => {
        if (items.delete(key)) {
            revision += 1;
            recordChange({ key, revision, deleted: true });
        }
    };

    const endLease = (lease: number): void => {
        clearTimeout(leases.get(lease)?.timer);
        leases.delete(lease);
        [...items.values()].filter(item => item.lease === lease).forEach(item => remove(item.key));
    };

    /** Creates or renews a lease, which expires after `ttlMs`. */
    const setLease = (lease: number, ttlMs: number): void => {
        clearTimeout(leases.get(lease)?.timer);
        leases.set(lease, { ttlMs, timer: setTimeout(() => endLease(lease), ttlMs) });
    };

    /** Returns the changes after a revision, or waits up to `waitMs` for the first one. */
    const watch = async (prefix: string, after: number, waitMs: number) => {
        const findChanges = (): Change[] => changes.filter(change => change.revision > after && change.key.startsWith(prefix));
        if (findChanges().length === 0) {
            await new Promise<void>(resolve => {
                const checkForChanges = (): void => {
                    if (findChanges().length > 0) {
                        finish();
                    }
                };
                const timer = setTimeout(() => finish(), waitMs);
                const finish = (): void => {
                    clearTimeout(timer);
                    watchers.delete(checkForChanges);
                    resolve();
                };
                watchers.add(checkForChanges);
            });
        }
        return { events: findChanges(), at_rev: revision };
    };

    const list = (prefix: string) =>
        ({ items: [...items.values()].filter(item => item.key.startsWith(prefix)), has_more: false, at_rev: revision });

    const commit = ({ precondition, puts, remove: removedKeys }: Transaction): { status: number; body: unknown } => {
        if (precondition.some(({ key, revision: expectedRevision }) => (items.get(key)?.revision ?? 0) !== expectedRevision)) {
            return { status: 412, body: { items: [] } };
        }
        if (puts.some(each => each.lease !== 0 && !leases.has(each.lease))) {
            return { status: 404, body: {} };
        }
        puts.forEach(each => put(each.key, Buffer.from(each.value, "base64").toString(), each.lease));
        removedKeys.forEach(remove);
        return { status: 200, body: { revision } };
    };

    const handleRequest = async (req: IncomingMessage): Promise<{ status: number; body: unknown }> => {
        const url = new URL(req.url ?? "/", "http://store");
        const [, , call, id] = url.pathname.split("/");
        const prefix = url.searchParams.get("prefix") ?? "";
        const body = await readJson(req);
        switch (call) {
            case "kv-range":
                return { status: 200, body: list(prefix) };
            case "kv-watch":
                if (Number(url.searchParams.get("after")) > revision) {
                    return { status: 410, body: {} };
                }
                return { status: 200, body: await watch(prefix, Number(url.searchParams.get("after")), Number(url.searchParams.get("wait_ms"))) };
            case "kv-txn":
                return commit(body as unknown as Transaction);
            case "kv-lease": {
                const ttlMs = Number(body.ttl_ms);
                nextLease += 1;
                setLease(nextLease, ttlMs);
                return { status: 200, body: { lease: nextLease, ttl_ms: ttlMs } };
            }
            case "kv-keep": {
                const existing = leases.get(Number(id));
                if (existing === undefined) {
                    return { status: 404, body: {} };
                }
                setLease(Number(id), existing.ttlMs);
                return { status: 200, body: { ttl_ms: existing.ttlMs } };
            }
            case "kv-lease-end":
                endLease(Number(id));
                return { status: 200, body: {} };
            default:
                return { status: 404, body: {} };
        }
    };

    const server = createServer((req, res) => {
        res.setHeader("store-era", String(era));
        handleRequest(req).then(
            ({ status, body }) => sendJson(res, status, body),
            err => res.writeHead(500).end(String(err)),
        );
    });

    return {
        server,
        /** Writes a key directly, without a transaction. */
        put,
        remove,
        /** Returns the present state without keys that hang on a lease. */
        copy: (): Copy => ({ items: [...items.values()].filter(item => item.lease === 0), revision }),
        /** Has the store come back from a copy: what was written since is gone, leases too, and revisions are given out again. */
        restore: (copy: Copy): void => {
            leases.forEach(({ timer }) => clearTimeout(timer));
            leases.clear();
            nextLease = FIRST_LEASE;
            items.clear();
            copy.items.forEach(item => items.set(item.key, item));
            changes = changes.filter(change => change.revision <= copy.revision);
            revision = copy.revision;
            era += 1;
            server.closeAllConnections();
        },
        /** Returns the revision of the latest change. */
        revision: (): number => revision,
        /** Returns the number of keys with a prefix. */
        count: (prefix: string): number => list(prefix).items.length,
        close: (): void => {
            leases.forEach(({ timer }) => clearTimeout(timer));
            server.closeAllConnections();
            server.close();
        },
    };
};
