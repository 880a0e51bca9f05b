import type { InstanceId } from "medlarlb-types/instanceId";
import type { MetadataStore } from "medlarlb-types/metadataStore";
import { directoryKeys } from "./directoryKeys.js";

interface LeaseOptions {
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

interface HeldLease {
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
const LEASE_TTL_MS = 6_000;
const RENEWAL_INTERVAL_MS = 1_000;
/** How long before its end the lease is no longer relied on, in ms: an order takes time to arrive. */
const EXPIRY_MARGIN_MS = 500;
const TICK_INTERVAL_MS = 50;
/** Difference in ms between the clocks' steps, or gap between ticks, that counts as a freeze or a clock step. */
const MAX_CLOCK_DRIFT_MS = 200;
const MAX_TICK_GAP_MS = 600;
/** Reserve in ms on the time that orders of two holders lie apart. */
const HANDOVER_MARGIN_MS = 300;

/**
 * Creates the lease of a zone's planner. One instance of the zone holds it in the store. It relies on the lease only up
 * to a time counted from before its last renewal was sent, and on its own clock only while nothing says that the process
 * stood still. A new holder waits until the orders of the one before are past.
 */
export const createGatewayPlannerLease = (options: LeaseOptions) => {
    const { store, zone, instanceId, now, wallNow, leaseMs, every, onChange } = options;
    let heldLease: HeldLease | undefined;
    let storedHolder: { instance: InstanceId; revision: number } | undefined;
    let isHolderKnown = false;
    let isCalling = false;
    /** Counts the times that the process stood still, so that an answer from before doesn't prove anything after. */
    let pauseCount = 0;
    /** Whether the store answered the last renewal. */
    let reachable = true;
    let stopped = false;
    let nextCallAtMs = 0;
    let lastCheckSteadyMs = now();
    let lastCheckWallMs = wallNow();

    const deactivate = (reason: string): void => {
        if (heldLease?.active === true) {
            heldLease.active = false;
            onChange(undefined, reason);
        }
    };

    /** Judges whether the process stood still or the time of day jumped since the last look. */
    const checkClocks = (): boolean => {
        const elapsedSteadyMs = now() - lastCheckSteadyMs;
        const elapsedWallMs = wallNow() - lastCheckWallMs;
        lastCheckSteadyMs = now();
        lastCheckWallMs = wallNow();
        const uninterrupted = elapsedSteadyMs <= MAX_TICK_GAP_MS && Math.abs(elapsedWallMs - elapsedSteadyMs) <= MAX_CLOCK_DRIFT_MS;
        pauseCount += uninterrupted ? 0 : 1;
        if (!uninterrupted && heldLease !== undefined) {
            // Only a renewal that is sent after this moment proves that the lease is still held.
            heldLease.validUntilMs = Number.NEGATIVE_INFINITY;
            nextCallAtMs = 0;
            deactivate(`the process stood still or its clock jumped: ${Math.round(elapsedSteadyMs)} ms steady, ${Math.round(elapsedWallMs)} ms of day`);
        }
        return uninterrupted;
    };

    const isValid = (): boolean => {
        const uninterrupted = checkClocks();
        return uninterrupted && heldLease !== undefined && heldLease.active && now() < heldLease.validUntilMs;
    };

    const acquire = async (): Promise<void> => {
        const startedAtMs = now();
        const lease = await store.grantLease(LEASE_TTL_MS);
        if (lease.isErr) {
            return;
        }
        const key = directoryKeys.planner(zone);
        // A machine that has started again takes the duty back from its own earlier life, which can't order any more.
        const previousHolder = storedHolder;
        const change = await store.change({
            conditions: [{ key, revision: previousHolder?.revision ?? 0 }],
            puts: [{ key, value: instanceId, lease: lease.value }],
            removes: [],
        });
        if (change.isErr) {
            // The change may still happen; without its lease it can't.
            await store.endLease(lease.value);
            return;
        }
        heldLease = {
            lease: lease.value,
            fence: change.value,
            validUntilMs: startedAtMs + LEASE_TTL_MS - EXPIRY_MARGIN_MS,
            activeAtMs: previousHolder === undefined ? now() + leaseMs + HANDOVER_MARGIN_MS : now(),
            active: false,
        };
    };

    const renew = async (current: HeldLease): Promise<void> => {
        const sentAtMs = now();
        const pauseCountAtSend = pauseCount;
        const renewed = await store.renewLease(current.lease);
        reachable = renewed.isOk || renewed.error.kind !== "unknown";
        if (heldLease !== current) {
            return;
        }
        checkClocks();
        if (renewed.isOk && pauseCountAtSend === pauseCount) {
            current.validUntilMs = sentAtMs + LEASE_TTL_MS - EXPIRY_MARGIN_MS;
        }
        else if (renewed.isErr && renewed.error.kind === "noLease") {
            deactivate("the lease has ended");
            heldLease = undefined;
        }
    };

    const acquireOrRenew = async (): Promise<void> => {
        isCalling = true;
        nextCallAtMs = now() + RENEWAL_INTERVAL_MS;
        try {
            if (heldLease !== undefined) {
                await renew(heldLease);
            }
            else if (isHolderKnown && (storedHolder === undefined || storedHolder.instance === instanceId)) {
                await acquire();
            }
        }
        finally {
            isCalling = false;
        }
    };

    const tick = (): void => {
        checkClocks();
        if (heldLease?.active === true && now() >= heldLease.validUntilMs) {
            deactivate("the lease wasn't renewed in time");
        }
        if (heldLease !== undefined && !heldLease.active && now() >= heldLease.activeAtMs && now() < heldLease.validUntilMs) {
            heldLease.active = true;
            onChange(heldLease.fence, "the lease is held and orders of an earlier holder are past");
        }
        if (!isCalling && !stopped && now() >= nextCallAtMs) {
            void acquireOrRenew();
        }
    };

    const release = async (reason: string): Promise<void> => {
        stopped = true;
        const lease = heldLease?.lease;
        deactivate(reason);
        heldLease = undefined;
        if (lease !== undefined) {
            await store.endLease(lease);
        }
    };

    const stopTicking = every(TICK_INTERVAL_MS, tick);
    return {
        isValid,
        /** Tells which planner of the zone the store names, and by which change. */
        setHolder: (newHolder: { instance: InstanceId; revision: number } | undefined): void => {
            isHolderKnown = true;
            storedHolder = newHolder;
            if (newHolder !== undefined && newHolder.instance !== instanceId && heldLease !== undefined) {
                deactivate(`the store names ${newHolder.instance} as planner`);
                heldLease = undefined;
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
        close: stopTicking,
    };
};
