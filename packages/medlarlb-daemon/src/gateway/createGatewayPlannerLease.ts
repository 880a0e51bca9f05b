import type { InstanceId } from "medlarlb-types/instanceId";
import type { MetadataStore } from "medlarlb-types/metadataStore";
import { directoryKeys } from "./directoryKeys.js";

interface DutyOptions {
    store: MetadataStore;
    zone: string;
    instanceId: InstanceId;
    /** Steady clock and time of day, in ms. */
    now: () => number;
    wallNow: () => number;
    /** Time in ms that orders of two holders have to lie apart. */
    leaseMs: number;
    /** Calls a function at an interval, and returns what ends that. */
    every: (ms: number, run: () => void) => () => void;
    /** Called with the fence as soon as orders may be given, and with undefined when they no longer may. */
    onChange: (fence: number | undefined, reason: string) => void;
}

interface Held {
    lease: number;
    fence: number;
    /** Time of the steady clock up to which the lease can't have lapsed. */
    validUntilMs: number;
    /** Time from which orders may be given. */
    activeAtMs: number;
    active: boolean;
}

/**
 * Time to live of the lease in ms. A shorter one brings a new holder sooner after a crash, a longer one lets the holder go
 * on through an outage of the store.
 */
const TTL_MS = 6_000;
const RENEW_MS = 1_000;
/** How long before its end the lease is no longer relied on, in ms: an order takes time to arrive. */
const MARGIN_MS = 500;
const TICK_MS = 50;
/** Difference in ms between the clocks' steps, or gap between ticks, that counts as a freeze or a clock step. */
const DRIFT_MS = 200;
const GAP_MS = 600;
/** Reserve in ms on the time that orders of two holders lie apart. */
const APART_MS = 300;

/**
 * Creates the lease of a zone's planner. One instance of the zone holds it in the store. It relies on the lease only up
 * to a time counted from before its last renewal was sent, and on its own clock only while nothing says that the process
 * stood still. A new holder waits until the orders of the one before are past.
 */
export const createGatewayPlannerLease = (options: DutyOptions) => {
    const { store, zone, instanceId, now, wallNow, leaseMs, every, onChange } = options;
    let held: Held | undefined;
    let holder: { instance: InstanceId; revision: number } | undefined;
    let known = false;
    let busy = false;
    /** Counts the times that the process stood still, so that an answer from before doesn't prove anything after. */
    let standstills = 0;
    /** Whether the store answered the last renewal. */
    let reachable = true;
    let stopped = false;
    let nextCallMs = 0;
    let lastTickMs = now();
    let lastWallMs = wallNow();

    const pauseDuty = (reason: string): void => {
        if (held?.active === true) {
            held.active = false;
            onChange(undefined, reason);
        }
    };

    /** Judges whether the process stood still or the time of day jumped since the last look. */
    const checkClocks = (): boolean => {
        const steadyMs = now() - lastTickMs;
        const wallMs = wallNow() - lastWallMs;
        lastTickMs = now();
        lastWallMs = wallNow();
        const still = steadyMs <= GAP_MS && Math.abs(wallMs - steadyMs) <= DRIFT_MS;
        standstills += still ? 0 : 1;
        if (!still && held !== undefined) {
            // Only a renewal that is sent after this moment proves that the lease is still held.
            held.validUntilMs = Number.NEGATIVE_INFINITY;
            nextCallMs = 0;
            pauseDuty(`the process stood still or its clock jumped: ${Math.round(steadyMs)} ms steady, ${Math.round(wallMs)} ms of day`);
        }
        return still;
    };

    const isValid = (): boolean => {
        const still = checkClocks();
        return still && held !== undefined && held.active && now() < held.validUntilMs;
    };

    const acquire = async (): Promise<void> => {
        const startedMs = now();
        const lease = await store.grantLease(TTL_MS);
        if (lease.isErr) {
            return;
        }
        const key = directoryKeys.planner(zone);
        // A machine that has started again takes the duty back from its own earlier life, which can't order any more.
        const before = holder;
        const change = await store.change({
            conditions: [{ key, revision: before?.revision ?? 0 }],
            puts: [{ key, value: instanceId, lease: lease.value }],
            removes: [],
        });
        if (change.isErr) {
            // The change may still happen; without its lease it can't.
            await store.endLease(lease.value);
            return;
        }
        held = {
            lease: lease.value,
            fence: change.value,
            validUntilMs: startedMs + TTL_MS - MARGIN_MS,
            activeAtMs: before === undefined ? now() + leaseMs + APART_MS : now(),
            active: false,
        };
    };

    const renew = async (heldLease: Held): Promise<void> => {
        const sentMs = now();
        const sentIn = standstills;
        const renewed = await store.renewLease(heldLease.lease);
        reachable = renewed.isOk || renewed.error.kind !== "unknown";
        if (held !== heldLease) {
            return;
        }
        checkClocks();
        if (renewed.isOk && sentIn === standstills) {
            heldLease.validUntilMs = sentMs + TTL_MS - MARGIN_MS;
        }
        else if (renewed.isErr && renewed.error.kind === "noLease") {
            pauseDuty("the lease has ended");
            held = undefined;
        }
    };

    const call = async (): Promise<void> => {
        busy = true;
        nextCallMs = now() + RENEW_MS;
        try {
            if (held !== undefined) {
                await renew(held);
            }
            else if (known && (holder === undefined || holder.instance === instanceId)) {
                await acquire();
            }
        }
        finally {
            busy = false;
        }
    };

    const tick = (): void => {
        checkClocks();
        if (held?.active === true && now() >= held.validUntilMs) {
            pauseDuty("the lease wasn't renewed in time");
        }
        if (held !== undefined && !held.active && now() >= held.activeAtMs && now() < held.validUntilMs) {
            held.active = true;
            onChange(held.fence, "the lease is held and orders of an earlier holder are past");
        }
        if (!busy && !stopped && now() >= nextCallMs) {
            void call();
        }
    };

    const release = async (reason: string): Promise<void> => {
        stopped = true;
        const lease = held?.lease;
        pauseDuty(reason);
        held = undefined;
        if (lease !== undefined) {
            await store.endLease(lease);
        }
    };

    const end = every(TICK_MS, tick);
    return {
        isValid,
        /** Tells which planner of the zone the store names, and by which change. */
        setHolder: (named: { instance: InstanceId; revision: number } | undefined): void => {
            known = true;
            holder = named;
            if (named !== undefined && named.instance !== instanceId && held !== undefined) {
                pauseDuty(`the store names ${named.instance} as planner`);
                held = undefined;
            }
        },
        /** Gives the duty up if the store answers, so that another instance can take it. Returns whether it did. */
        releaseIfReachable: async (): Promise<boolean> => {
            if (!reachable) {
                return false;
            }
            await release("this instance stops");
            return true;
        },
        release,
        close: end,
    };
};
