import type { InstanceId } from "medlarlb-types/instanceId";
import type { StoredPlanner } from "medlarlb-types/storedPlanner";
import type { MetadataStore } from "medlarlb-types/metadataStore";
import type { StoreLease } from "medlarlb-types/storeLease";
import { directoryKeys } from "./directoryKeys.js";
import { plannerEntry } from "./plannerEntry.js";
import { REGISTRATION_TTL_MS } from "./registrationTtlMs.js";

interface LeaseOptions {
    store: MetadataStore;
    zone: string;
    instanceId: InstanceId;
    /** Monotonic clock in ms; `wallNow` is the wall clock in ms. */
    now: () => number;
    wallNow: () => number;
    /** Shortest time in ms between the last order of one holder and the first order of the next. */
    leaseMs: number;
    /** Returns how many instances of the zone try to acquire a free lease before this one. */
    rank: () => number;
    /** Returns whether the store lists an instance, or the instance responds. */
    isKnownInstance: (id: InstanceId) => boolean;
    /** Calls a function at an interval, and returns a function that stops it. */
    every: (ms: number, run: () => void) => () => void;
    /** Called with the fencing number when orders may be sent, and with undefined when they no longer may. */
    onChange: (fence: number | undefined, reason: string) => void;
    /** Called when an error ends a call to the store or a check of the lease, which are repeated. */
    onError: (kind: "plannerLease", err: unknown) => void;
}

interface HeldLease {
    lease: StoreLease;
    fence: number;
    /** Time of the monotonic clock until which the lease can't have expired in the store. */
    validUntilMs: number;
    /** Time of the monotonic clock from which orders may be sent. */
    activeAtMs: number;
    /** Whether `onChange` has allowed orders. */
    active: boolean;
}

/**
 * Time to live of the lease in ms. A shorter time replaces a crashed holder sooner. A longer time lets the holder continue
 * through an outage of the store.
 */
const LEASE_TTL_MS = 6_000;
const RENEWAL_INTERVAL_MS = 1_000;
/** Time in ms before its expiry from which the lease is no longer used, because an order takes time to arrive. */
const EXPIRY_MARGIN_MS = 500;
const TICK_INTERVAL_MS = 200;
/** Largest difference in ms between the advances of the two clocks. A larger one means a suspension or a clock jump. */
const MAX_CLOCK_DRIFT_MS = 200;
/** Longest time in ms between two checks of the clocks. A longer one means that the process was paused. */
const MAX_TICK_GAP_MS = 600;
/** Delay in ms between the attempts of two instances to acquire a free lease, so that most instances make none, and its limit. */
const ACQUISITION_STEP_MS = 250;
const MAX_ACQUISITION_DELAY_MS = 2_000;
/** Margin in ms that a new holder waits in addition to `leaseMs`. */
const HANDOVER_MARGIN_MS = 300;

/**
 * Creates the planner lease of a zone, which one instance of the zone holds in the store. Its validity counts from the
 * time at which the last successful renewal was sent, or, before the first one, from the start of its acquisition. A process
 * pause or clock jump makes it invalid until a renewal that is sent later succeeds, because the local clock can't be trusted
 * across one. A new holder waits until the orders of the holder before it are past, unless it replaces its own entry. An entry that
 * names no instance is replaced, since no lease ends it; the holder whose entry it has overwritten may not know yet. So is one whose
 * instance has been unknown for long, on the condition that the store has no entry of that instance.
 */
export const createGatewayPlannerLease = (options: LeaseOptions) => {
    const { store, zone, instanceId, now, wallNow, leaseMs, rank, isKnownInstance, every, onChange, onError } = options;
    let heldLease: HeldLease | undefined;
    /** Time until which no other instance can be active, since this one held the lease until the store lost it. */
    let exclusiveUntilMs = Number.NEGATIVE_INFINITY;
    /** Time up to which the store may have lost leases whose holders don't know it yet. */
    let leasesLostUntilMs = Number.NEGATIVE_INFINITY;
    /** Planner of the zone that the store names. */
    let storedHolder: StoredPlanner | undefined;
    let isHolderKnown = false;
    /** Time from which the stored holder's entry may be replaced, because no such instance is known. */
    let replaceableAtMs = Number.POSITIVE_INFINITY;
    let isCalling = false;
    /** Number of process pauses and clock jumps. A renewal that was sent before one doesn't extend the lease after it. */
    let pauseCount = 0;
    /** Whether the store responded to the last renewal. */
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

    /** Returns false, and deactivates the lease, if the process was paused or a clock jumped since the last check. */
    const checkClocks = (): boolean => {
        const elapsedSteadyMs = now() - lastCheckSteadyMs;
        const elapsedWallMs = wallNow() - lastCheckWallMs;
        lastCheckSteadyMs = now();
        lastCheckWallMs = wallNow();
        const uninterrupted = elapsedSteadyMs <= MAX_TICK_GAP_MS && Math.abs(elapsedWallMs - elapsedSteadyMs) <= MAX_CLOCK_DRIFT_MS;
        pauseCount += uninterrupted ? 0 : 1;
        replaceableAtMs = uninterrupted ? replaceableAtMs : Number.POSITIVE_INFINITY;
        if (!uninterrupted && heldLease !== undefined) {
            // Only a renewal that is sent from now on proves that the lease is still held.
            heldLease.validUntilMs = Number.NEGATIVE_INFINITY;
            nextCallAtMs = 0;
            deactivate(`the process was paused or its clock jumped: ${Math.round(elapsedSteadyMs)} ms steady, ${Math.round(elapsedWallMs)} ms wall`);
        }
        return uninterrupted;
    };

    const isValid = (): boolean => {
        const uninterrupted = checkClocks();
        return uninterrupted && heldLease !== undefined && heldLease.active && now() < heldLease.validUntilMs;
    };

    const acquisitionDelayMs = (): number => Math.min(MAX_ACQUISITION_DELAY_MS, rank() * ACQUISITION_STEP_MS);

    const hasUnknownHolder = (): boolean => {
        const holder = storedHolder?.instance;
        return holder !== undefined && holder !== instanceId && !isKnownInstance(holder);
    };

    const checkHolder = (): void => {
        // A holder that runs has registered again by then.
        replaceableAtMs = hasUnknownHolder()
            ? Math.min(replaceableAtMs, now() + REGISTRATION_TTL_MS + acquisitionDelayMs())
            : Number.POSITIVE_INFINITY;
    };

    const isReplaceable = (): boolean => now() >= replaceableAtMs && hasUnknownHolder();

    /** Returns whether the store names no planner, this instance as it was before a restart, or one that doesn't exist. */
    const mayAcquire = (): boolean =>
        isHolderKnown && (storedHolder?.instance === undefined || storedHolder.instance === instanceId || isReplaceable());

    const acquire = async (): Promise<void> => {
        const startedAtMs = now();
        checkClocks();
        const pauseCountAtStart = pauseCount;
        const lease = await store.grantLease(LEASE_TTL_MS);
        if (lease.isErr) {
            return;
        }
        const key = directoryKeys.planner(zone);
        // After a restart this instance replaces its own entry, and has to wait only if its former process was still waiting.
        const previousHolder = storedHolder;
        if (!mayAcquire()) {
            // Another instance has become the holder while the store granted the lease.
            await store.endLease(lease.value);
            return;
        }
        const replaced = previousHolder?.instance === instanceId ? undefined : previousHolder?.instance;
        const isOwnLease = replaced === undefined && (previousHolder?.active === true || now() < exclusiveUntilMs);
        const sentAtMs = now();
        const change = await store.change({
            conditions: [
                { key, revision: previousHolder?.revision ?? 0 },
                // The list of instances that is known here may be older than the registration of the holder.
                ...(replaced === undefined ? [] : [{ key: directoryKeys.instance(replaced), revision: 0 }]),
            ],
            puts: [{ key, value: plannerEntry.encode(instanceId, false), lease: lease.value }],
            removes: [],
        });
        if (replaced !== undefined) {
            // If it runs, it may stand still for as long as its lease lives, and renew it before it learns of the change.
            leasesLostUntilMs = now() + LEASE_TTL_MS;
        }
        // A holder that can't reach the store goes on until its lease would have expired.
        const othersEndAtMs = Math.max(sentAtMs, leasesLostUntilMs + LEASE_TTL_MS);
        if (change.isErr) {
            // An unanswered change may still take effect, but not after its lease has ended.
            await store.endLease(lease.value);
            return;
        }
        if (storedHolder !== undefined && storedHolder.revision > change.value && storedHolder.instance !== instanceId) {
            // The entry was overwritten while the answer was on its way.
            await store.endLease(lease.value);
            return;
        }
        checkClocks();
        const isUninterrupted = pauseCountAtStart === pauseCount;
        nextCallAtMs = isUninterrupted ? nextCallAtMs : 0;
        heldLease = {
            lease: lease.value,
            fence: change.value,
            // The monotonic clock stands still in a suspension, in which the lease may have expired.
            validUntilMs: isUninterrupted ? startedAtMs + LEASE_TTL_MS - EXPIRY_MARGIN_MS : Number.NEGATIVE_INFINITY,
            activeAtMs: isOwnLease ? now() : othersEndAtMs + leaseMs + HANDOVER_MARGIN_MS,
            active: false,
        };
    };

    const renew = async (current: HeldLease): Promise<void> => {
        const sentAtMs = now();
        const pauseCountAtSend = pauseCount;
        const renewed = await store.renewLease(current.lease);
        reachable = renewed.isOk || !["unknown", "tooLong"].includes(renewed.error.kind);
        if (heldLease !== current) {
            return;
        }
        checkClocks();
        if (renewed.isOk && pauseCountAtSend === pauseCount) {
            current.validUntilMs = sentAtMs + LEASE_TTL_MS - EXPIRY_MARGIN_MS;
        }
        else if (renewed.isErr && renewed.error.kind === "noLease") {
            exclusiveUntilMs = current.active ? current.validUntilMs : Number.NEGATIVE_INFINITY;
            nextCallAtMs = 0;
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
            else if (mayAcquire()) {
                await acquire();
            }
        }
        catch (err) {
            onError("plannerLease", err);
        }
        finally {
            isCalling = false;
        }
    };

    /** Records in the store that the wait is over. A process that restarts without this record waits once more. */
    const recordActivation = async ({ lease, fence }: HeldLease): Promise<void> => {
        const key = directoryKeys.planner(zone);
        const puts = [{ key, value: plannerEntry.encode(instanceId, true), lease }];
        await store.change({ conditions: [{ key, revision: fence }], puts, removes: [] });
    };

    const tick = (): void => {
        checkClocks();
        checkHolder();
        if (heldLease?.active === true && now() >= heldLease.validUntilMs) {
            deactivate("the lease wasn't renewed in time");
        }
        if (heldLease !== undefined && !heldLease.active && now() >= heldLease.activeAtMs && now() < heldLease.validUntilMs) {
            heldLease.active = true;
            onChange(heldLease.fence, "the lease is held and orders of an earlier holder are past");
            recordActivation(heldLease).catch((err: unknown) => onError("plannerLease", err));
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

    const stopTicking = every(TICK_INTERVAL_MS, () => {
        try {
            tick();
        }
        catch (err) {
            onError("plannerLease", err);
        }
    });
    return {
        isValid,
        /** Notes that the store may have lost leases up to now, as when it has come back from an older copy. */
        noteLeasesLost: (): void => {
            leasesLostUntilMs = now();
            replaceableAtMs = Number.POSITIVE_INFINITY;
            nextCallAtMs = 0;
        },
        /** Sets the planner of the zone that the store names, with the revision of its entry. */
        setHolder: (newHolder: StoredPlanner | undefined): void => {
            const isChanged = newHolder?.revision !== storedHolder?.revision;
            const isOverwritten = isChanged && newHolder !== undefined && newHolder.instance === undefined;
            const isNewlyFree = isOverwritten || (newHolder === undefined && (!isHolderKnown || storedHolder !== undefined));
            // Another instance may have replaced the entry of an unknown holder, which may not know yet.
            if (isOverwritten || (isChanged && hasUnknownHolder())) {
                leasesLostUntilMs = now() + (isOverwritten ? 0 : LEASE_TTL_MS);
            }
            replaceableAtMs = isChanged ? Number.POSITIVE_INFINITY : replaceableAtMs;
            isHolderKnown = true;
            storedHolder = newHolder;
            if (newHolder !== undefined && newHolder.instance !== instanceId && heldLease !== undefined) {
                deactivate(`the store names ${newHolder.instance ?? "no instance"} as planner`);
                heldLease = undefined;
            }
            if (isNewlyFree && heldLease === undefined) {
                nextCallAtMs = now() + acquisitionDelayMs();
            }
        },
        /**
         * Releases the lease, so that another instance can acquire it, and returns true. Does nothing and returns false if the
         * store didn't respond to the last renewal.
         */
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
