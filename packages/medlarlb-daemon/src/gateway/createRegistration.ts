import type { InstanceId } from "medlarlb-types/instanceId";
import type { MetadataStore } from "medlarlb-types/metadataStore";
import type { StoreLease } from "medlarlb-types/storeLease";
import { directoryKeys } from "./directoryKeys.js";
import { REGISTRATION_TTL_MS } from "./registrationTtlMs.js";

interface RegistrationOptions {
    store: MetadataStore;
    instanceId: InstanceId;
    zone: string;
    /** Monotonic clock in ms; `wallNow` is the wall clock in ms. */
    now: () => number;
    wallNow: () => number;
    /** Called after each registration and renewal with the time until which the entry is certainly in the store's list. */
    onRegistered: (validUntilMs: number, wasListed: boolean) => void;
    /** Called when an error ends an attempt, which is repeated. */
    onError: (kind: "registration", err: unknown) => void;
}

const RENEWAL_INTERVAL_MS = 10_000;
/** Delay in ms before a failed registration or renewal is retried. */
const RETRY_DELAY_MS = 500;
/** Part of the lease in ms that this instance doesn't rely on, since its clock may stop while the machine is suspended. */
const SUSPENSION_MARGIN_MS = 8_000;
/** Age in ms of an entry from which all instances know of it or have no share of the quotas any more: 14.5 s and a clock step. */
const KNOWN_TO_ALL_MS = 15_000;

/** Returns since when an entry has been in the list, by the wall clock of its address; undefined if it doesn't tell. */
const readSinceMs = (value: string | undefined): number | undefined => {
    try {
        const { sinceMs } = JSON.parse(value ?? "") as { sinceMs?: unknown };
        return typeof sinceMs === "number" ? sinceMs : undefined;
    }
    catch {
        // An entry in another format is replaced as one of unknown age.
        return undefined;
    }
};

/** Creates the registration of this instance in the store, through which the other instances discover it. */
export const createRegistration = ({ store, instanceId, zone, now, wallNow, onRegistered, onError }: RegistrationOptions) => {
    const key = directoryKeys.instance(instanceId);
    let lease: StoreLease | undefined;
    let timer: NodeJS.Timeout | undefined;
    let stopped = false;
    /** Time until which the latest entry of this process would be in the list if the store hadn't lost it. */
    let validUntilMs = Number.NEGATIVE_INFINITY;

    const reportValid = (sentAtMs: number, wasListed: boolean): void => {
        if (!stopped) {
            validUntilMs = sentAtMs + REGISTRATION_TTL_MS - SUSPENSION_MARGIN_MS;
            onRegistered(validUntilMs, wasListed);
        }
    };

    const put = (granted: StoreLease, sinceMs: number, conditions: { key: string; revision: number }[]) =>
        store.change({ conditions, puts: [{ key, value: JSON.stringify({ zone, sinceMs }), lease: granted }], removes: [] });

    /** Replaces the entry of an earlier process at this address, or one whose registration got no answer. */
    const replaceEntry = async (granted: StoreLease): Promise<{ isOk: boolean; wasListed: boolean }> => {
        const found = await store.list(key);
        if (found.isErr) {
            return { isOk: false, wasListed: false };
        }
        const entry = found.value.items.find(each => each.key === key);
        const sinceMs = readSinceMs(entry?.value) ?? wallNow();
        const change = await put(granted, sinceMs, [{ key, revision: entry?.revision ?? 0 }]);
        return { isOk: change.isOk, wasListed: entry !== undefined && wallNow() - sinceMs >= KNOWN_TO_ALL_MS };
    };

    const register = async (): Promise<boolean> => {
        const sentAtMs = now();
        // The others count an instance whose entry has gone for longer than an entry is valid.
        const isStillCounted = sentAtMs < validUntilMs;
        const granted = await store.grantLease(REGISTRATION_TTL_MS);
        if (granted.isErr) {
            return false;
        }
        const change = await put(granted.value, wallNow(), [{ key, revision: 0 }]);
        const isReplaced = change.isErr && change.error.kind === "conflict";
        const outcome = isReplaced ? await replaceEntry(granted.value) : { isOk: change.isOk, wasListed: false };
        if (outcome.isOk) {
            lease = granted.value;
            reportValid(sentAtMs, outcome.wasListed || isStillCounted);
        }
        return outcome.isOk;
    };

    const renew = async (currentLease: StoreLease): Promise<boolean> => {
        const sentAtMs = now();
        const renewed = await store.renewLease(currentLease);
        if (renewed.isErr && renewed.error.kind === "noLease") {
            lease = undefined;
            return register();
        }
        if (renewed.isOk) {
            reportValid(sentAtMs, true);
        }
        return renewed.isOk;
    };

    let isRunning = false;

    const tryOnce = async (): Promise<boolean> => {
        try {
            return lease === undefined ? await register() : await renew(lease);
        }
        catch (err) {
            onError("registration", err);
            return false;
        }
    };

    const registerOrRenew = async (): Promise<void> => {
        clearTimeout(timer);
        isRunning = true;
        const succeeded = await tryOnce();
        isRunning = false;
        if (!stopped) {
            timer = setTimeout(() => void registerOrRenew(), succeeded ? RENEWAL_INTERVAL_MS : RETRY_DELAY_MS);
        }
    };

    return {
        start: (): void => void registerOrRenew(),
        /** Registers this instance again at once if the store has lost its entry. */
        renewNow: (): void => {
            if (!isRunning && !stopped) {
                void registerOrRenew();
            }
        },
        stop: async (): Promise<void> => {
            // The others divide the quotas without this instance as soon as its entry is gone.
            onRegistered(Number.NEGATIVE_INFINITY, true);
            stopped = true;
            clearTimeout(timer);
            if (lease !== undefined) {
                await store.endLease(lease).catch((err: unknown) => onError("registration", err));
            }
        },
    };
};
