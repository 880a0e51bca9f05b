import { Result } from "true-myth";
import { expect } from "chai";
import type { MetadataStore } from "medlarlb-types/metadataStore";
import type { StoreError } from "medlarlb-types/storeError";
import { createGatewayPlannerLease } from "../gateway/createGatewayPlannerLease.js";

const TICK_MS = 50;

/** Lets callbacks of the store run. */
const settle = async (): Promise<void> => {
    for (let turn = 0; turn < 5; turn += 1) {
        await Promise.resolve();
    }
};

describe("the lease of a planner", () => {
    const createBench = () => {
        let steadyMs = 1_000;
        let wallMs = 5_000_000;
        let reachable = true;
        /** Renewals whose answer is still on its way, if answers are held back. */
        let heldBack: (() => void)[] | undefined;
        let tick: () => void = () => undefined;
        const changes: (number | undefined)[] = [];
        const lost: StoreError = { kind: "unknown", message: "no answer" };
        const answer = <Value>(value: Value): Promise<Result<Value, StoreError>> =>
            Promise.resolve(reachable ? Result.ok<Value, StoreError>(value) : Result.err<Value, StoreError>(lost));
        const store = {
            grantLease: () => answer(7),
            change: () => answer(41),
            renewLease: () => {
                const waiting = heldBack;
                return waiting === undefined
                    ? answer(true as const)
                    : new Promise<Result<true, StoreError>>(resolve => waiting.push(() => resolve(Result.ok(true as const))));
            },
            endLease: () => answer(true as const),
        } as unknown as MetadataStore;
        const lease = createGatewayPlannerLease({
            store,
            zone: "z",
            instanceId: "i" as never,
            now: () => steadyMs,
            wallNow: () => wallMs,
            leaseMs: 3_000,
            every: (_ms, run) => {
                tick = run;
                return () => undefined;
            },
            onChange: fence => changes.push(fence),
        });
        const pass = async (ms: number): Promise<void> => {
            for (let passed = 0; passed < ms; passed += TICK_MS) {
                steadyMs += TICK_MS;
                wallMs += TICK_MS;
                tick();
                await settle();
            }
        };
        return {
            lease,
            changes,
            pass,
            setReachable: (value: boolean): void => {
                reachable = value;
            },
            holdAnswers: (): void => {
                heldBack = [];
            },
            giveAnswers: async (): Promise<void> => {
                const waiting = heldBack ?? [];
                heldBack = undefined;
                reachable = false;
                waiting.forEach(give => give());
                await settle();
            },
            freeze: (ms: number, { steady }: { steady: boolean }): void => {
                steadyMs += steady ? ms : 0;
                wallMs += ms;
            },
        };
    };

    it("allows no order until those of an earlier holder are past", async () => {
        const { lease, pass } = createBench();
        lease.setHolder(undefined);
        await pass(2_900);
        expect(lease.isValid()).to.equal(false);
        await pass(1_000);
        expect(lease.isValid()).to.equal(true);
    });

    it("is not taken while another instance holds it", async () => {
        const { lease, pass, changes } = createBench();
        lease.setHolder({ instance: "other" as never, revision: 9 });
        await pass(10_000);
        expect(changes).to.deep.equal([]);
    });

    it("is taken back at once by the instance that held it in an earlier life", async () => {
        const { lease, pass } = createBench();
        lease.setHolder({ instance: "i" as never, revision: 9 });
        await pass(300);
        expect(lease.isValid()).to.equal(true);
    });

    it("ends before the store can give it to another", async () => {
        const { lease, pass, setReachable, changes } = createBench();
        lease.setHolder(undefined);
        await pass(5_000);
        setReachable(false);
        await pass(4_000);
        expect(lease.isValid()).to.equal(true);
        await pass(2_000);
        expect(lease.isValid()).to.equal(false);
        expect(changes).to.deep.equal([41, undefined]);
    });

    for (const { name, steady } of [{ name: "the process stood still", steady: true }, { name: "the time of day jumped or the machine was suspended", steady: false }]) {
        it(`allows no order after ${name} until a renewal proves it`, async () => {
            const { lease, pass, freeze, setReachable } = createBench();
            lease.setHolder(undefined);
            await pass(5_000);
            setReachable(false);
            freeze(2_000, { steady });
            expect(lease.isValid()).to.equal(false);
            await pass(1_000);
            expect(lease.isValid()).to.equal(false);
            setReachable(true);
            await pass(1_200);
            expect(lease.isValid()).to.equal(true);
        });
    }

    it("isn't proved by a renewal that was sent before a suspension and is answered after it", async () => {
        const { lease, pass, holdAnswers, giveAnswers, freeze } = createBench();
        lease.setHolder(undefined);
        await pass(5_000);
        holdAnswers();
        await pass(1_100);
        freeze(5_000, { steady: false });
        await pass(50);
        await giveAnswers();
        await pass(100);
        expect(lease.isValid()).to.equal(false);
    });

    it("is handed over by an instance that stops, but kept while the store is away", async () => {
        const { lease, pass, setReachable } = createBench();
        lease.setHolder(undefined);
        await pass(5_000);
        setReachable(false);
        await pass(1_200);
        expect(await lease.releaseIfReachable()).to.equal(false);
        expect(lease.isValid()).to.equal(true);
        setReachable(true);
        await pass(1_200);
        expect(await lease.releaseIfReachable()).to.equal(true);
        expect(lease.isValid()).to.equal(false);
    });

    it("is given up when the store names another holder", async () => {
        const { lease, pass } = createBench();
        lease.setHolder(undefined);
        await pass(5_000);
        lease.setHolder({ instance: "other" as never, revision: 50 });
        expect(lease.isValid()).to.equal(false);
    });
});
