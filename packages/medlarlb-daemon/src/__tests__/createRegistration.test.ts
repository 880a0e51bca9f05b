import { Result } from "true-myth";
import { expect } from "chai";
import type { MetadataStore } from "medlarlb-types/metadataStore";
import type { StoreError } from "medlarlb-types/storeError";
import { createRegistration } from "../gateway/createRegistration.js";

const KEY = "medlarlb/instances/10.0.0.4:7080";
/** Validity in ms of a lease of 30 s, less the time for which a machine may be suspended. */
const VALID_MS = 22_000;

/** Lets pending promise callbacks of the store run. */
const flushPromises = async (): Promise<void> => {
    for (let turn = 0; turn < 20; turn += 1) {
        await Promise.resolve();
    }
};

/** Registrations of the current test, whose timers have to end with it. */
const started: ReturnType<typeof createRegistration>[] = [];

/** Creates a store with entries, and registrations of successive processes at one address. */
const createFixture = () => {
    const entries = new Map<string, { value: string; revision: number }>();
    const calls: string[] = [];
    const reports: { validForMs: number; wasListed: boolean }[] = [];
    let revision = 0;
    let steadyMs = 1_000;
    let wallMs = 5_000_000;
    let losesNextAnswer = false;
    let hasLostLease = false;
    let throwing: string | undefined;
    const failures: string[] = [];
    const conflict: StoreError = { kind: "conflict", message: "another revision" };
    const noResponse: StoreError = { kind: "unknown", message: "no answer" };
    const answer = <Value>(call: string, value: Value): Promise<Result<Value, StoreError>> => {
        calls.push(call);
        if (call === throwing) {
            throwing = undefined;
            return Promise.reject(new TypeError(`a fault in ${call}`));
        }
        return Promise.resolve(Result.ok<Value, StoreError>(value));
    };
    const store = {
        grantLease: () => answer("grantLease", { id: 1, era: 1 }),
        renewLease: () => {
            if (hasLostLease) {
                hasLostLease = false;
                entries.clear();
                return Promise.resolve(Result.err<true, StoreError>({ kind: "noLease", message: "no such lease" }));
            }
            return answer("renewLease", true as const);
        },
        endLease: () => answer("endLease", true as const),
        list: (prefix: string) => answer("list", {
            items: [...entries].filter(([key]) => key.startsWith(prefix)).map(([key, entry]) => ({ key, ...entry })),
            revision,
        }),
        change: ({ conditions, puts }: Parameters<MetadataStore["change"]>[0]) => {
            calls.push("change");
            if (conditions.some(each => (entries.get(each.key)?.revision ?? 0) !== each.revision)) {
                return Promise.resolve(Result.err<number, StoreError>(conflict));
            }
            revision += 1;
            puts.forEach(put => entries.set(put.key, { value: put.value, revision }));
            const isLost = losesNextAnswer;
            losesNextAnswer = false;
            return Promise.resolve(isLost ? Result.err<number, StoreError>(noResponse) : Result.ok<number, StoreError>(revision));
        },
    } as unknown as MetadataStore;
    const start = async () => {
        const registration = createRegistration({
            store,
            instanceId: "10.0.0.4:7080" as never,
            zone: "z",
            now: () => steadyMs,
            wallNow: () => wallMs,
            onError: (kind, err) => failures.push(`${kind}: ${String(err)}`),
            onRegistered: (validUntilMs, wasListed) => reports.push({ validForMs: validUntilMs - steadyMs, wasListed }),
        });
        registration.start();
        started.push(registration);
        await flushPromises();
        return registration;
    };
    const pass = (ms: number): void => {
        steadyMs += ms;
        wallMs += ms;
    };
    return {
        entries,
        calls,
        reports,
        failures,
        start,
        pass,
        /** Has the next call of a kind reject. */
        throwAt: (call: string): void => {
            throwing = call;
        },
        loseNextAnswer: (): void => {
            losesNextAnswer = true;
        },
        loseLease: (): void => {
            hasLostLease = true;
        },
    };
};

describe("the registration of an instance", () => {
    afterEach(() => Promise.all(started.splice(0).map(each => each.stop())));

    it("takes two calls to the store at a first start, and reports an entry that is new to the list", async () => {
        const { start, calls, reports, entries } = createFixture();
        await start();
        expect(calls).to.deep.equal(["grantLease", "change"]);
        expect(reports).to.deep.equal([{ validForMs: VALID_MS, wasListed: false }]);
        expect(JSON.parse(entries.get(KEY)?.value ?? "")).to.include({ zone: "z" });
    });

    it("reports that the list had its entry when it replaces that of a process before it, and after renewals", async () => {
        const { start, reports, pass } = createFixture();
        const first = await start();
        pass(16_000);
        first.renewNow();
        await flushPromises();
        await start();
        expect(reports.slice(1)).to.deep.equal([{ validForMs: VALID_MS, wasListed: true }, { validForMs: VALID_MS, wasListed: true }]);
    });

    it("reports an entry as new that a process before it made only a moment ago, since not all instances may know it yet", async () => {
        const { start, reports, pass } = createFixture();
        await start();
        pass(3_000);
        await start();
        pass(13_000);
        await start();
        expect(reports.map(each => each.wasListed)).to.deep.equal([false, false, true]);
    });

    it("reports its own entry as new if the answer to its registration was lost", async () => {
        const { start, reports, loseNextAnswer, pass } = createFixture();
        loseNextAnswer();
        const registration = await start();
        expect(reports).to.have.lengthOf(0);
        pass(500);
        registration.renewNow();
        await flushPromises();
        expect(reports).to.deep.equal([{ validForMs: VALID_MS, wasListed: false }]);
    });

    for (const { afterMs, wasListed } of [{ afterMs: 21_500, wasListed: true }, { afterMs: 22_000, wasListed: false }]) {
        it(`reports an entry that the store had lost with its lease as ${wasListed ? "still counted" : "new"} ${afterMs} ms after it was valid`, async () => {
            const { start, reports, loseLease, pass } = createFixture();
            const registration = await start();
            pass(afterMs);
            loseLease();
            registration.renewNow();
            await flushPromises();
            expect(reports.map(each => each.wasListed)).to.deep.equal([false, wasListed]);
        });
    }

    it("reports the end of its validity before it ends its lease", async () => {
        const { start, reports, calls } = createFixture();
        const registration = await start();
        const stopped = registration.stop();
        expect(reports.at(-1)?.validForMs).to.equal(Number.NEGATIVE_INFINITY);
        await stopped;
        expect(calls.at(-1)).to.equal("endLease");
    });

    // FAULT: the rejection, which nobody handled, ended the process.
    it("goes on when a call throws an error, and registers at the next attempt", async () => {
        const { start, throwAt, failures, reports } = createFixture();
        throwAt("grantLease");
        const registration = await start();
        expect(failures).to.deep.equal(["registration: TypeError: a fault in grantLease"]);
        registration.renewNow();
        await flushPromises();
        expect(reports).to.deep.equal([{ validForMs: VALID_MS, wasListed: false }]);
    });

    it("stops when the end of its lease throws an error", async () => {
        const { start, throwAt, failures } = createFixture();
        const registration = await start();
        throwAt("endLease");
        await registration.stop();
        expect(failures).to.deep.equal(["registration: TypeError: a fault in endLease"]);
    });
});
