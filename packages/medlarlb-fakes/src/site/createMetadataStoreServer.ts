import { createServer } from "node:http";
import type { IncomingMessage } from "node:http";
import { readJson } from "../shared/readJson.js";
import { sendJson } from "../shared/sendJson.js";

interface Item {
    key: string;
    value: string;
    revision: number;
    created_at: number;
    lease: number;
}

type Change = Partial<Item> & { key: string; revision: number; deleted?: boolean };

interface Transaction {
    precondition: { key: string; revision: number }[];
    puts: { key: string; value: string; lease: number }[];
    remove: string[];
}

/** Creates a stand-in of the users' metadata store: keys with revisions, conditions, leases and watches. */
export const createMetadataStoreServer = () => {
    const items = new Map<string, Item>();
    const changes: Change[] = [];
    const leases = new Map<number, { ttlMs: number; timer: NodeJS.Timeout }>();
    const watchers = new Set<() => void>();
    let revision = 1;
    let nextLease = 1;

    const note = (change: Change): void => {
        changes.push(change);
        setImmediate(() => watchers.forEach(wake => wake()));
    };

    const put = (key: string, value: string, lease = 0): void => {
        revision += 1;
        const item = { key, value: Buffer.from(value).toString("base64"), revision, created_at: items.get(key)?.created_at ?? revision, lease };
        items.set(key, item);
        note(item);
    };

    const remove = (key: string): void => {
        if (items.delete(key)) {
            revision += 1;
            note({ key, revision, deleted: true });
        }
    };

    const endLease = (lease: number): void => {
        clearTimeout(leases.get(lease)?.timer);
        leases.delete(lease);
        [...items.values()].filter(item => item.lease === lease).forEach(item => remove(item.key));
    };

    const startLease = (lease: number, ttlMs: number): void => {
        clearTimeout(leases.get(lease)?.timer);
        leases.set(lease, { ttlMs, timer: setTimeout(() => endLease(lease), ttlMs) });
    };

    const watch = async (prefix: string, after: number, waitMs: number) => {
        const find = (): Change[] => changes.filter(change => change.revision > after && change.key.startsWith(prefix));
        if (find().length === 0) {
            await new Promise<void>(resolve => {
                const wake = (): void => {
                    if (find().length > 0) {
                        finish();
                    }
                };
                const timer = setTimeout(() => finish(), waitMs);
                const finish = (): void => {
                    clearTimeout(timer);
                    watchers.delete(wake);
                    resolve();
                };
                watchers.add(wake);
            });
        }
        return { events: find(), at_rev: revision };
    };

    const list = (prefix: string) =>
        ({ items: [...items.values()].filter(item => item.key.startsWith(prefix)), has_more: false, at_rev: revision });

    const commit = ({ precondition, puts, remove: removed }: Transaction): { status: number; body: unknown } => {
        if (precondition.some(({ key, revision: wanted }) => (items.get(key)?.revision ?? 0) !== wanted)) {
            return { status: 412, body: { items: [] } };
        }
        if (puts.some(each => each.lease !== 0 && !leases.has(each.lease))) {
            return { status: 404, body: {} };
        }
        puts.forEach(each => put(each.key, Buffer.from(each.value, "base64").toString(), each.lease));
        removed.forEach(remove);
        return { status: 200, body: { revision } };
    };

    const answer = async (req: IncomingMessage): Promise<{ status: number; body: unknown }> => {
        const url = new URL(req.url ?? "/", "http://store");
        const [, , call, id] = url.pathname.split("/");
        const prefix = url.searchParams.get("prefix") ?? "";
        const body = await readJson(req);
        switch (call) {
            case "kv-range":
                return { status: 200, body: list(prefix) };
            case "kv-watch":
                return { status: 200, body: await watch(prefix, Number(url.searchParams.get("after")), Number(url.searchParams.get("wait_ms"))) };
            case "kv-txn":
                return commit(body as unknown as Transaction);
            case "kv-lease": {
                const ttlMs = Number(body.ttl_ms);
                nextLease += 1;
                startLease(nextLease, ttlMs);
                return { status: 200, body: { lease: nextLease, ttl_ms: ttlMs } };
            }
            case "kv-keep": {
                const held = leases.get(Number(id));
                if (held === undefined) {
                    return { status: 404, body: {} };
                }
                startLease(Number(id), held.ttlMs);
                return { status: 200, body: { ttl_ms: held.ttlMs } };
            }
            case "kv-lease-end":
                endLease(Number(id));
                return { status: 200, body: {} };
            default:
                return { status: 404, body: {} };
        }
    };

    const server = createServer((req, res) => {
        answer(req).then(
            ({ status, body }) => sendJson(res, status, body),
            err => res.writeHead(500).end(String(err)),
        );
    });

    return {
        server,
        put,
        remove,
        close: (): void => {
            leases.forEach(({ timer }) => clearTimeout(timer));
            server.closeAllConnections();
            server.close();
        },
    };
};
