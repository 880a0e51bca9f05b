import type { KvWrite } from "medlarlb-types/kvWrite";
import type { KvWriteOutcome } from "medlarlb-types/kvWriteOutcome";
import type { Result } from "true-myth";
import { createKvTransport } from "./createKvTransport.js";
import { createKvWatch } from "./createKvWatch.js";
import { createKvWriter } from "./createKvWriter.js";
import { decodeKey } from "./decodeKey.js";
import { encodeKey } from "./encodeKey.js";
import type { KvClientOptions } from "./kvClientOptions.js";
import type { KvError } from "./kvError.js";
import type { KvRangeResult } from "./kvRangeResult.js";
import { prefixRangeEnd } from "./prefixRangeEnd.js";

interface RangeResponse {
    header: { revision: string };
    kvs?: { key: string; value?: string; mod_revision: string }[];
}

const toRangeResult = (response: RangeResponse): KvRangeResult => ({
    revision: Number(response.header.revision),
    pairs: (response.kvs ?? []).map(kv => ({
        key: decodeKey(kv.key),
        value: decodeKey(kv.value ?? ""),
        revision: Number(kv.mod_revision),
    })),
});

/** Creates the client of the platform's KV service, over the published JSON gateway of etcd v3. */
export const createKvClient = (options: KvClientOptions) => {
    const transport = createKvTransport(options);
    const writer = createKvWriter(transport.call);
    return {
        /** Reads one key. */
        get: async (key: string): Promise<Result<KvRangeResult, KvError>> =>
            (await transport.call<RangeResponse>("/v3/kv/range", { key: encodeKey(key) })).map(toRangeResult),
        /** Reads all keys with a prefix at one revision. */
        list: async (prefix: string): Promise<Result<KvRangeResult, KvError>> =>
            (await transport.call<RangeResponse>("/v3/kv/range", { key: encodeKey(prefix), range_end: encodeKey(prefixRangeEnd(prefix)) }))
                .map(toRangeResult),
        /** Writes under conditions. Writes within a few ms share a call. After a lost response, the outcome is read back. */
        write: (write: KvWrite): Promise<KvWriteOutcome> => writer.write(write),
        /** Grants a lease and returns its id. */
        grantLease: async (ttlSeconds: number): Promise<Result<string, KvError>> =>
            (await transport.call<{ ID: string }>("/v3/lease/grant", { TTL: String(ttlSeconds) })).map(response => response.ID),
        /** Renews a lease. Returns false if it has expired. */
        keepLeaseAlive: async (id: string): Promise<Result<boolean, KvError>> =>
            (await transport.call<{ result: { TTL?: string } }>("/v3/lease/keepalive", { ID: id }))
                .map(response => Number(response.result.TTL ?? "0") > 0),
        /** Ends a lease and deletes its keys. */
        revokeLease: async (id: string): Promise<void> => {
            await transport.call("/v3/lease/revoke", { ID: id });
        },
        /** Watches all keys with a prefix. */
        watch: createKvWatch(options, transport.dispatcher),
        close: (): Promise<void> => transport.dispatcher.destroy(),
    };
};
