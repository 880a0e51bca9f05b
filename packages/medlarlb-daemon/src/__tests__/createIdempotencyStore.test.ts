import { expect } from "chai";
import type { IdempotencyRecord } from "medlarlb-types/idempotencyRecord";
import type { KvWrite } from "medlarlb-types/kvWrite";
import type { KvWriteOutcome } from "medlarlb-types/kvWriteOutcome";
import type { RequestSummary } from "medlarlb-types/requestSummary";
import { Result } from "true-myth";
import { createIdempotencyStore } from "../caller/createIdempotencyStore.js";

const createKv = () => {
    const keys = new Map<string, { value: string; revision: number }>();
    let revision = 1;
    return {
        records: (): IdempotencyRecord[] => [...keys.values()].map(({ value }) => JSON.parse(value) as IdempotencyRecord),
        grantLease: async () => Result.ok("lease"),
        write: async (write: KvWrite): Promise<KvWriteOutcome> => {
            const { key, revision: expected } = write.compares[0] as KvWrite["compares"][number];
            if ((keys.get(key)?.revision ?? 0) !== expected) {
                return { kind: "conflict", current: [{ key, revision: 0, ...keys.get(key) }] };
            }
            revision += 1;
            keys.set(key, { value: write.puts[0]?.value ?? "", revision });
            return { kind: "committed", revision };
        },
    };
};

const createSummary = (requestId: string): RequestSummary =>
    ({ requestId, idempotencyKey: "alerts/k1", fingerprint: "f" }) as unknown as RequestSummary;

describe("createIdempotencyStore", () => {
    it("records an outcome only from the request that holds the claim", async () => {
        const kv = createKv();
        const store = createIdempotencyStore(kv as never, "a1" as never);
        expect((await store.claim(createSummary("first"))).outcome).to.equal("claimed");
        expect((await store.claim(createSummary("second"))).outcome).to.equal("repeat");
        // The outcome of the refused repeat must not overwrite the record of the first request, which may still be running.
        await store.recordOutcome(createSummary("second"), "notRun");
        expect(kv.records().map(record => record.state)).to.deep.equal(["claimed"]);
        expect((await store.claim(createSummary("third"))).outcome).to.equal("repeat");
        await store.recordOutcome(createSummary("first"), "completed", { status: 200, contentType: "text/plain", body: "done" });
        expect((await store.claim(createSummary("fourth"))).record?.answer?.body).to.equal("done");
    });

    it("lets an identical request claim the key of a request that was refused without being run", async () => {
        const store = createIdempotencyStore(createKv() as never, "a1" as never);
        await store.claim(createSummary("first"));
        await store.recordOutcome(createSummary("first"), "notRun");
        expect((await store.claim(createSummary("second"))).outcome).to.equal("claimed");
    });
});
