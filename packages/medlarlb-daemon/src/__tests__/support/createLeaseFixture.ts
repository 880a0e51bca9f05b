import { Result } from "true-myth";
import type { MetadataStore } from "medlarlb-types/metadataStore";
import type { StoreError } from "medlarlb-types/storeError";
import { createGatewayPlannerLease } from "../../gateway/createGatewayPlannerLease.js";

const TICK_MS = 200;

/** Lets pending promise callbacks of the store run. */
const flushPromises = async (): Promise<void> => {
    for (let turn = 0; turn < 5; turn += 1) {
        await Promise.resolve();
    }
};

/** Creates the planner lease of instance `i` in zone `z`, over a stand-in for the store and for its clocks. */
export const createLeaseFixture = () => {
    let steadyMs = 1_000;
    let wallMs = 5_000_000;
    let reachable = true;
    let rank = 0;
    let nextRevision = 41;
    let hasLostLeases = false;
    let isHolderKnown = true;
    /** Renewals without a response yet; undefined while renewals are answered at once. */
    let delayedRenewals: (() => void)[] | undefined;
    /** Has the answer to the next change arrive; undefined while changes are answered at once. */
    let deliverChange: (() => void) | undefined;
    let tick: () => void = () => undefined;
    let failing: string | undefined;
    const failures: string[] = [];
    const changes: (number | undefined)[] = [];
    const written: string[] = [];
    const conditions: unknown[] = [];
    const noResponse: StoreError = { kind: "unknown", message: "no answer" };
    const answer = <Value>(value: Value): Promise<Result<Value, StoreError>> =>
        Promise.resolve(reachable ? Result.ok<Value, StoreError>(value) : Result.err<Value, StoreError>(noResponse));
    const failIf = (call: string): void => {
        if (failing === call) {
            throw new TypeError(`${call}: nobody has foreseen this`);
        }
    };
    const store = {
        grantLease: () => {
            failIf("grantLease");
            return answer(7);
        },
        change: ({ conditions: required, puts }: Parameters<MetadataStore["change"]>[0]) => {
            failIf("change");
            conditions.push(required);
            written.push(...puts.map(put => put.value));
            return deliverChange === undefined
                ? answer(nextRevision)
                : new Promise<Result<number, StoreError>>(resolve => {
                        deliverChange = () => resolve(Result.ok(41));
                    });
        },
        renewLease: () => {
            failIf("renewLease");
            const pendingRenewals = delayedRenewals;
            if (hasLostLeases) {
                hasLostLeases = false;
                return Promise.resolve(Result.err<true, StoreError>({ kind: "noLease", message: "no such lease" }));
            }
            return pendingRenewals === undefined
                ? answer(true as const)
                : new Promise<Result<true, StoreError>>(resolve => pendingRenewals.push(() => resolve(Result.ok(true as const))));
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
        rank: () => {
            failIf("rank");
            return rank;
        },
        isKnownInstance: () => isHolderKnown,
        every: (_ms, run) => {
            tick = run;
            return () => undefined;
        },
        onChange: fence => changes.push(fence),
        onError: (kind, err) => failures.push(`${kind}: ${String(err)}`),
    });
    const advance = async (ms: number): Promise<void> => {
        for (let elapsedMs = 0; elapsedMs < ms; elapsedMs += TICK_MS) {
            steadyMs += TICK_MS;
            wallMs += TICK_MS;
            tick();
            await flushPromises();
        }
    };
    return {
        lease,
        changes,
        written,
        conditions,
        failures,
        advance,
        /** Has a call to the store or to the fixture throw; with undefined, none does. */
        setFailing: (call: "grantLease" | "change" | "renewLease" | "rank" | undefined): void => {
            failing = call;
        },
        setRank: (value: number): void => {
            rank = value;
        },
        /** Sets whether the stored holder is listed or responds. */
        setHolderKnown: (value: boolean): void => {
            isHolderKnown = value;
        },
        /** Sets the revision that the store gives to further changes. */
        setNextRevision: (value: number): void => {
            nextRevision = value;
        },
        setReachable: (value: boolean): void => {
            reachable = value;
        },
        /** Has the store come back from a copy without leases, and the directory tell so. */
        restoreStore: (): void => {
            hasLostLeases = true;
            lease.noteLeasesLost();
            lease.setHolder(undefined);
        },
        delayChanges: (): void => {
            deliverChange = () => undefined;
        },
        /** Answers the delayed change, and makes the store unreachable for further calls. */
        deliverDelayedChange: async (): Promise<void> => {
            reachable = false;
            deliverChange?.();
            await flushPromises();
        },
        delayRenewals: (): void => {
            delayedRenewals = [];
        },
        /** Answers the delayed renewals, and makes the store unreachable for further calls. */
        deliverDelayedRenewals: async (): Promise<void> => {
            const pendingRenewals = delayedRenewals ?? [];
            delayedRenewals = undefined;
            reachable = false;
            pendingRenewals.forEach(answerRenewal => answerRenewal());
            await flushPromises();
        },
        /** Advances the wall clock, and the monotonic clock too if `steady`, without a tick. */
        skipTime: (ms: number, { steady }: { steady: boolean }): void => {
            steadyMs += steady ? ms : 0;
            wallMs += ms;
        },
    };
};
