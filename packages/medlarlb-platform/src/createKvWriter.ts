import type { KvWrite } from "medlarlb-types/kvWrite";
import type { KvWriteOutcome } from "medlarlb-types/kvWriteOutcome";
import type { Result } from "true-myth";
import { decodeKey } from "./decodeKey.js";
import { encodeKey } from "./encodeKey.js";
import type { KvError } from "./kvError.js";

interface KvPair {
    key: string;
    value?: string;
    mod_revision: string;
}

interface TxnResponse {
    header: { revision: string };
    succeeded?: boolean;
    responses?: { response_txn?: TxnResponse; response_range?: { kvs?: KvPair[] } }[];
}

type CallKvService = <Answer>(path: string, body: unknown) => Promise<Result<Answer, KvError>>;

const BATCH_DELAY_MS = 2;
const MAX_BATCH_KEY_COUNT = 64;
const MAX_READ_BACK_COUNT = 2;

const toTxn = (write: KvWrite) => ({
    compare: write.compares.map(({ key, revision }) => ({
        key: encodeKey(key),
        target: "MOD",
        result: "EQUAL",
        mod_revision: String(revision),
    })),
    success: [
        ...write.puts.map(({ key, value, lease }) => ({
            request_put: { key: encodeKey(key), value: encodeKey(value), ...(lease === undefined ? {} : { lease }) },
        })),
        ...write.deletes.map(key => ({ request_delete_range: { key: encodeKey(key) } })),
    ],
    failure: write.compares.map(({ key }) => ({ request_range: { key: encodeKey(key) } })),
});

const toConflict = (write: KvWrite, response: TxnResponse): KvWriteOutcome => ({
    kind: "conflict",
    current: write.compares.map(({ key }, index) => {
        const kv = response.responses?.[index]?.response_range?.kvs?.[0];
        return kv === undefined
            ? { key, revision: 0 }
            : { key, value: decodeKey(kv.value ?? ""), revision: Number(kv.mod_revision) };
    }),
});

/** Creates the writer, which joins writes into one transaction and reads back the outcome of writes without a response. */
export const createKvWriter = (call: CallKvService) => {
    let queue: { write: KvWrite; resolve: (outcome: KvWriteOutcome) => void }[] = [];
    let timer: NodeJS.Timeout | undefined;

    /** Looks for the write's operation id in the keys that it would have put. */
    const readBack = async (write: KvWrite, reason: string): Promise<KvWriteOutcome> => {
        const txn = { success: write.puts.map(({ key }) => ({ request_range: { key: encodeKey(key) } })) };
        for (let attempt = 0; attempt < MAX_READ_BACK_COUNT; attempt += 1) {
            const result = await call<TxnResponse>("/v3/kv/txn", txn);
            if (result.isErr) {
                continue;
            }
            for (const response of result.value.responses ?? []) {
                const kv = response.response_range?.kvs?.[0];
                if (kv !== undefined && decodeKey(kv.value ?? "").includes(write.operationId)) {
                    return { kind: "committed", revision: Number(kv.mod_revision) };
                }
            }
            // The write may still take effect, so its absence proves nothing.
            return { kind: "unavailable", reason: `${reason}; the write has not taken effect yet` };
        }
        return { kind: "unavailable", reason };
    };

    const sendBatch = async (batch: typeof queue): Promise<void> => {
        const txn = { success: batch.map(({ write }) => ({ request_txn: toTxn(write) })) };
        const result = await call<TxnResponse>("/v3/kv/txn", txn);
        if (result.isErr) {
            await Promise.all(batch.map(async ({ write, resolve }) => resolve(await readBack(write, result.error.message))));
            return;
        }
        batch.forEach(({ write, resolve }, index) => {
            const txnResponse = result.value.responses?.[index]?.response_txn;
            if (txnResponse?.succeeded === true) {
                resolve({ kind: "committed", revision: Number(result.value.header.revision) });
            }
            else {
                resolve(toConflict(write, txnResponse ?? { header: result.value.header }));
            }
        });
    };

    /** Removes the next batch from the queue. A transaction may touch a key only once, so a second write to it has to wait. */
    const takeNextBatch = (): typeof queue => {
        const batchKeys = new Set<string>();
        const batch = queue.filter(({ write }) => {
            const touchedKeys = [...write.puts.map(({ key }) => key), ...write.deletes];
            const fits = batchKeys.size < MAX_BATCH_KEY_COUNT && !touchedKeys.some(key => batchKeys.has(key));
            touchedKeys.forEach(key => batchKeys.add(key));
            return fits;
        });
        queue = queue.filter(each => !batch.includes(each));
        return batch;
    };

    const flush = (): void => {
        timer = undefined;
        const batch = takeNextBatch();
        if (queue.length > 0) {
            timer = setTimeout(flush, 0);
        }
        void sendBatch(batch);
    };

    return {
        write: (write: KvWrite): Promise<KvWriteOutcome> =>
            new Promise(resolve => {
                queue.push({ write, resolve });
                timer ??= setTimeout(flush, BATCH_DELAY_MS);
            }),
    };
};
