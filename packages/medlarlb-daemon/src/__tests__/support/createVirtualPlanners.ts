import { Result } from "true-myth";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { MetadataStore } from "medlarlb-types/metadataStore";
import type { StoreError } from "medlarlb-types/storeError";
import { createGatewayPlannerLease } from "../../gateway/createGatewayPlannerLease.js";
import { directoryKeys } from "../../gateway/directoryKeys.js";
import { plannerEntry } from "../../gateway/plannerEntry.js";

/** An order that a process sends while it may. */
interface SentOrder {
    instance: string;
    /** Number of the process among all, which tells a process from the one before it on the same address. */
    process: number;
    atMs: number;
}

interface PlannerOptions {
    /** Value that another writer puts into the entry; none by default. */
    otherValue?: string | undefined;
    isUnknown?: boolean;
    /** Delay in ms of all that the instances read in the store's list. */
    listLagMs?: number;
    /** Longest time in ms between two disturbances. */
    maxCalmMs?: number | undefined;
}

interface VirtualProcess {
    instance: string;
    number: number;
    lease: ReturnType<typeof createGatewayPlannerLease>;
    tick: () => void;
    /** Time until which it stands still. */
    pausedUntilMs: number;
    /** Time at which its machine was suspended, if it is; its monotonic clock stands still then. */
    suspendedAtMs: number | undefined;
    lostSteadyMs: number;
    /** What has arrived while it stood still. */
    arrived: (() => void)[];
    /** Whether it has been told to stop, or has ended. */
    isEnding: boolean;
    isDead: boolean;
}

const ZONE = "z";
const STEP_MS = 20;
const TICK_MS = 200;
const LEASE_MS = 3_000;
const LIST_DELAY_MS = 300;
const MAX_CALM_MS = 8_000;

/**
 * Creates instances of a zone that compete for its planner lease, over a store that is slow, doesn't answer, or takes changes
 * without an answer. Processes stand still, are suspended, stop and start again, all drawn from a seed.
 * Another writer may put a value into the entry. With `isUnknown`, the instances don't know of each other, and the store has lost
 * their registrations.
 */
export const createVirtualPlanners = (
    seed: number,
    instances: number,
    { otherValue, isUnknown = false, listLagMs = 0, maxCalmMs = MAX_CALM_MS }: PlannerOptions = {},
) => {
    const addresses = Array.from({ length: instances }, (_, index) => `10.0.0.${index}:8627`);
    const generator = xoroshiro128plus(seed);
    const random = (): number => uniformFloat64(generator);
    let nowMs = 1_000;
    let revision = 1;
    let nextLease = 1;
    let entry: { value: string; revision: number; lease: number | undefined } | undefined;
    const leases = new Map<number, { untilMs: number; ttlMs: number }>();
    const later: { atMs: number; run: () => void }[] = [];
    const orders: SentOrder[] = [];
    let slowUntilMs = 0;
    let unreachableUntilMs = 0;
    let processCount = 0;
    const processes: VirtualProcess[] = [];

    const after = (ms: number, run: () => void): void => void later.push({ atMs: nowMs + ms, run });
    const delay = (): number => (nowMs < slowUntilMs ? random() * 4_000 : random() * 20);
    const noResponse: StoreError = { kind: "unknown", message: "no answer" };

    /** Carries out a call of a process at the store, and has its answer arrive, each after a delay. */
    const call = <Value>(process: () => VirtualProcess, act: () => Result<Value, StoreError>): Promise<Result<Value, StoreError>> =>
        new Promise(resolve => {
            const answer = (result: Result<Value, StoreError>): void => {
                const owner = process();
                if (nowMs < owner.pausedUntilMs) {
                    owner.arrived.push(() => resolve(result));
                }
                else {
                    resolve(result);
                }
            };
            if (nowMs < unreachableUntilMs) {
                // A call without an answer may have been carried out.
                if (random() < 0.5) {
                    after(delay(), act);
                }
                after(1_000, () => answer(Result.err(noResponse)));
                return;
            }
            after(delay(), () => {
                const result = act();
                after(delay(), () => answer(result));
            });
        });

    const isRegistered = (key: string): boolean => !isUnknown && addresses.some(address => key === directoryKeys.instance(address));

    const createStore = (process: () => VirtualProcess): MetadataStore => ({
        grantLease: (ttlMs: number) => call(process, () => {
            nextLease += 1;
            leases.set(nextLease, { untilMs: nowMs + ttlMs, ttlMs });
            return Result.ok(nextLease);
        }),
        renewLease: (id: number) => call(process, () => {
            const lease = leases.get(id);
            if (lease === undefined) {
                return Result.err<true, StoreError>({ kind: "noLease", message: "no such lease" });
            }
            lease.untilMs = nowMs + lease.ttlMs;
            return Result.ok<true, StoreError>(true);
        }),
        endLease: (id: number) => call(process, () => {
            leases.delete(id);
            return Result.ok(true);
        }),
        change: ({ conditions, puts }: Parameters<MetadataStore["change"]>[0]) => call(process, () => {
            const [put] = puts;
            const revisionOf = (key: string): number =>
                (key === directoryKeys.planner(ZONE) ? entry?.revision ?? 0 : Number(isRegistered(key)));
            const isMet = conditions.every(each => each.revision === revisionOf(each.key));
            if (!isMet || put === undefined || !leases.has(Number(put.lease))) {
                return Result.err<number, StoreError>({ kind: "conflict", message: "changed" } as unknown as StoreError);
            }
            revision += 1;
            entry = { value: put.value, revision, lease: Number(put.lease) };
            return Result.ok<number, StoreError>(revision);
        }),
    }) as unknown as MetadataStore;

    const listHolder = (process: VirtualProcess): void => {
        const listed = entry === undefined ? undefined : plannerEntry.decode(entry.value, entry.revision);
        after(listLagMs + random() * LIST_DELAY_MS, () => {
            const show = (): void => process.lease.setHolder(listed);
            if (nowMs < process.pausedUntilMs) {
                process.arrived.push(show);
            }
            else if (!process.isDead) {
                show();
            }
        });
    };

    const start = (instance: string): void => {
        processCount += 1;
        const process: VirtualProcess = {
            instance,
            number: processCount,
            lease: undefined as never,
            tick: () => undefined,
            pausedUntilMs: 0,
            suspendedAtMs: undefined,
            lostSteadyMs: 0,
            arrived: [],
            isEnding: false,
            isDead: false,
        };
        process.lease = createGatewayPlannerLease({
            store: createStore(() => process),
            zone: ZONE,
            instanceId: instance as never,
            now: () => (process.suspendedAtMs ?? nowMs) - process.lostSteadyMs,
            wallNow: () => nowMs,
            leaseMs: LEASE_MS,
            rank: () => addresses.indexOf(instance),
            isKnownInstance: id => !isUnknown && addresses.includes(id),
            every: (_ms, run) => {
                process.tick = run;
                return () => undefined;
            },
            onChange: () => undefined,
            onError: (_kind, err) => {
                throw err;
            },
        });
        processes.push(process);
    };

    const sendOrder = (process: VirtualProcess): void => {
        if (process.lease.isValid()) {
            orders.push({ instance: process.instance, process: process.number, atMs: nowMs });
        }
    };

    const end = (process: VirtualProcess): void => {
        process.isDead = true;
        processes.splice(processes.indexOf(process), 1);
        after(random() * 4_000, () => start(process.instance));
    };

    const disturb = (): void => {
        const process = processes[Math.floor(random() * processes.length)];
        const kind = Math.floor(random() * (otherValue === undefined ? 7 : 9));
        if (kind === 0) {
            slowUntilMs = nowMs + random() * 8_000;
        }
        else if (kind === 1) {
            unreachableUntilMs = nowMs + random() * 12_000;
        }
        else if (kind >= 7 && otherValue !== undefined) {
            revision += 1;
            entry = { value: otherValue, revision, lease: undefined };
        }
        else if (process === undefined || process.isEnding || nowMs < process.pausedUntilMs) {
            // Another disturbance of it goes on.
        }
        else if (kind <= 4) {
            process.pausedUntilMs = nowMs + random() * 15_000;
            process.suspendedAtMs = kind === 4 ? nowMs : undefined;
        }
        else if (kind === 5) {
            process.isEnding = true;
            end(process);
        }
        else {
            process.isEnding = true;
            void process.lease.releaseIfReachable();
            after(1_000, () => end(process));
        }
    };

    const runDue = (): void => {
        for (const { run } of later.filter(each => each.atMs <= nowMs)) {
            run();
        }
        later.splice(0, later.length, ...later.filter(each => each.atMs > nowMs));
    };

    const step = (): void => {
        nowMs += STEP_MS;
        for (const [id, { untilMs }] of leases) {
            if (nowMs >= untilMs) {
                leases.delete(id);
            }
        }
        if (entry?.lease !== undefined && !leases.has(entry.lease)) {
            entry = undefined;
        }
        const due = later.splice(0).sort((one, other) => one.atMs - other.atMs);
        later.push(...due);
        runDue();
        for (const process of [...processes]) {
            if (nowMs < process.pausedUntilMs) {
                continue;
            }
            process.lostSteadyMs += process.suspendedAtMs === undefined ? 0 : nowMs - process.suspendedAtMs;
            process.suspendedAtMs = undefined;
            // After a pause, an order that was about to be sent comes first, or what has arrived meanwhile, or the timers.
            if (process.arrived.length > 0 && random() < 0.5) {
                process.arrived.splice(0).forEach(each => each());
            }
            if (random() < 0.3) {
                sendOrder(process);
            }
            process.arrived.splice(0).forEach(each => each());
            if (nowMs % TICK_MS === 0) {
                process.tick();
                listHolder(process);
            }
        }
    };

    return {
        orders,
        leaseMs: LEASE_MS,
        run: async (durationMs: number): Promise<void> => {
            addresses.forEach(start);
            let nextDisturbanceMs = nowMs + 8_000;
            for (const endMs = nowMs + durationMs; nowMs < endMs;) {
                step();
                if (nowMs >= nextDisturbanceMs) {
                    nextDisturbanceMs = nowMs + random() * maxCalmMs;
                    disturb();
                }
                for (let turn = 0; turn < 4; turn += 1) {
                    await Promise.resolve();
                }
            }
        },
    };
};
