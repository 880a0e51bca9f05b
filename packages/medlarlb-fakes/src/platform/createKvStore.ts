import type { KeyEvent } from "./keyEvent.js";
import type { KeyValue } from "./keyValue.js";
import type { KvTxnRequest } from "./kvTxnRequest.js";

interface Lease {
    id: string;
    ttlSeconds: number;
    expiresAtMs: number;
}

type TxnOperation = NonNullable<KvTxnRequest["success"]>[number];

const decode = (text: string): string => Buffer.from(text, "base64").toString("utf8");
const encode = (text: string): string => Buffer.from(text, "utf8").toString("base64");

/** Creates an in-memory model of etcd: keys with revisions, leases, transactions and an event history that can be compacted. */
export const createKvStore = (now: () => number) => {
    const keys = new Map<string, KeyValue>();
    const leases = new Map<string, Lease>();
    const listeners = new Set<(events: KeyEvent[], revision: number) => void>();
    let history: { revision: number; events: KeyEvent[] }[] = [];
    let revision = 1;
    let compactedRevision = 0;
    let nextLease = 7_000;

    /** Returns whether a key is in the range [from, end). No end means only the key `from`; the end "\0" means every key from `from` on. */
    const inRange = (key: string, from: string, end: string | undefined): boolean =>
        end === undefined || end === "" ? key === from : key >= from && (end === "\0" || key < end);

    const toWireKey = (kv: KeyValue) => ({
        key: encode(kv.key),
        value: kv.value,
        create_revision: String(kv.createRevision),
        mod_revision: String(kv.modRevision),
        version: String(kv.version),
        ...(kv.lease === "0" ? {} : { lease: kv.lease }),
    });

    const range = (key: string, rangeEnd?: string) => {
        const from = decode(key);
        const end = rangeEnd === undefined ? undefined : decode(rangeEnd);
        const kvs = [...keys.values()].filter(kv => inRange(kv.key, from, end)).sort((a, b) => (a.key < b.key ? -1 : 1));
        return { kvs: kvs.map(toWireKey), count: String(kvs.length) };
    };

    const put = (key: string, value: string, lease: string, atRevision: number, events: KeyEvent[]): void => {
        const previous = keys.get(key);
        const kv: KeyValue = {
            key,
            value,
            createRevision: previous?.createRevision ?? atRevision,
            modRevision: atRevision,
            version: (previous?.version ?? 0) + 1,
            lease,
        };
        keys.set(key, kv);
        events.push({ type: "PUT", kv });
    };

    const remove = (key: string, atRevision: number, events: KeyEvent[]): void => {
        const previous = keys.get(key);
        if (previous !== undefined) {
            keys.delete(key);
            events.push({ type: "DELETE", kv: { ...previous, value: "", modRevision: atRevision } });
        }
    };

    /** Adds the events of one transaction to the history under the next revision. */
    const commit = (events: KeyEvent[]): void => {
        if (events.length > 0) {
            revision += 1;
            history.push({ revision, events });
            for (const listener of [...listeners]) {
                listener(events, revision);
            }
        }
    };

    const isConditionMet = (compare: NonNullable<KvTxnRequest["compare"]>[number]): boolean => {
        const kv = keys.get(decode(compare.key));
        switch (compare.target ?? "VERSION") {
            case "MOD":
                return String(kv?.modRevision ?? 0) === (compare.mod_revision ?? "0");
            case "CREATE":
                return String(kv?.createRevision ?? 0) === (compare.create_revision ?? "0");
            default:
                return String(kv?.version ?? 0) === (compare.version ?? "0");
        }
    };

    const executeOperation = (operation: TxnOperation, events: KeyEvent[]): Record<string, unknown> => {
        if (operation.request_put !== undefined) {
            const { key, value, lease } = operation.request_put;
            put(decode(key), value ?? "", lease ?? "0", revision + 1, events);
            return { response_put: {} };
        }
        if (operation.request_range !== undefined) {
            return { response_range: range(operation.request_range.key, operation.request_range.range_end) };
        }
        if (operation.request_delete_range !== undefined) {
            const from = decode(operation.request_delete_range.key);
            const end = operation.request_delete_range.range_end;
            for (const key of [...keys.keys()].filter(name => inRange(name, from, end === undefined ? undefined : decode(end)))) {
                remove(key, revision + 1, events);
            }
            return { response_delete_range: {} };
        }
        return { response_txn: executeTxn(operation.request_txn ?? {}, events) };
    };

    const executeTxn = (txn: KvTxnRequest, events: KeyEvent[]): { succeeded: boolean; responses: unknown[] } => {
        const succeeded = (txn.compare ?? []).every(isConditionMet);
        const operations = (succeeded ? txn.success : txn.failure) ?? [];
        return { succeeded, responses: operations.map(operation => executeOperation(operation, events)) };
    };

    const header = () => ({ revision: String(revision) });

    return {
        range: (key: string, rangeEnd?: string) => ({ header: header(), ...range(key, rangeEnd) }),
        txn: (request: KvTxnRequest) => {
            const events: KeyEvent[] = [];
            const result = executeTxn(request, events);
            commit(events);
            return { header: header(), ...result };
        },
        grantLease: (ttlSeconds: number) => {
            nextLease += 1;
            const lease = { id: String(nextLease), ttlSeconds, expiresAtMs: now() + ttlSeconds * 1_000 };
            leases.set(lease.id, lease);
            return { header: header(), ID: lease.id, TTL: String(ttlSeconds) };
        },
        /** Renews a lease. The remaining time 0 in the response means that the lease doesn't exist. */
        keepLeaseAlive: (id: string) => {
            const lease = leases.get(id);
            if (lease === undefined) {
                return { result: { ID: id, TTL: "0" } };
            }
            lease.expiresAtMs = now() + lease.ttlSeconds * 1_000;
            return { result: { ID: id, TTL: String(lease.ttlSeconds) } };
        },
        revokeLease: (id: string): void => {
            leases.delete(id);
            const events: KeyEvent[] = [];
            for (const kv of [...keys.values()].filter(each => each.lease === id)) {
                remove(kv.key, revision + 1, events);
            }
            commit(events);
        },
        /** Deletes the expired leases and their keys. */
        expireLeases: (): void => {
            for (const lease of [...leases.values()].filter(each => each.expiresAtMs <= now())) {
                leases.delete(lease.id);
                const events: KeyEvent[] = [];
                for (const kv of [...keys.values()].filter(each => each.lease === lease.id)) {
                    remove(kv.key, revision + 1, events);
                }
                commit(events);
            }
        },
        compact: (atRevision: number): void => {
            compactedRevision = Math.min(atRevision, revision);
            history = history.filter(entry => entry.revision > compactedRevision);
        },
        compactedRevision: () => compactedRevision,
        revision: () => revision,
        history: () => history,
        toWireEvent: (event: KeyEvent) => ({ ...(event.type === "DELETE" ? { type: "DELETE" } : {}), kv: toWireKey(event.kv) }),
        matches: (event: KeyEvent, key: string, rangeEnd?: string): boolean =>
            inRange(event.kv.key, decode(key), rangeEnd === undefined ? undefined : decode(rangeEnd)),
        /** Calls `listener` after each transaction that changed a key. Returns a function that ends the subscription. */
        listen: (listener: (events: KeyEvent[], revision: number) => void) => {
            listeners.add(listener);
            return () => listeners.delete(listener);
        },
    };
};
