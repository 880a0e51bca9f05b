import type { InstanceId } from "medlarlb-types/instanceId";
import type { MetadataStore } from "medlarlb-types/metadataStore";
import type { StoreLease } from "medlarlb-types/storeLease";
import { directoryKeys } from "./directoryKeys.js";

/**
 * Time to live in ms of an instance's entry, and the interval in ms of its renewal. The other instances detect by probes that
 * an instance is gone, so that its entry may stay for a while.
 */
const LEASE_TTL_MS = 30_000;
const RENEWAL_INTERVAL_MS = 10_000;
/** Delay in ms before a failed registration or renewal is retried. */
const RETRY_DELAY_MS = 500;

/** Creates the registration of this instance in the store, through which the other instances discover it. */
export const createRegistration = (store: MetadataStore, instanceId: InstanceId, zone: string) => {
    let lease: StoreLease | undefined;
    let timer: NodeJS.Timeout | undefined;
    let stopped = false;

    const register = async (): Promise<boolean> => {
        const granted = await store.grantLease(LEASE_TTL_MS);
        if (granted.isErr) {
            return false;
        }
        const put = { key: directoryKeys.instance(instanceId), value: JSON.stringify({ zone }), lease: granted.value };
        const change = await store.change({ conditions: [], puts: [put], removes: [] });
        if (change.isOk) {
            lease = granted.value;
        }
        return change.isOk;
    };

    const renew = async (currentLease: StoreLease): Promise<boolean> => {
        const renewed = await store.renewLease(currentLease);
        if (renewed.isErr && renewed.error.kind === "noLease") {
            lease = undefined;
            return register();
        }
        return renewed.isOk;
    };

    let isRunning = false;

    const registerOrRenew = async (): Promise<void> => {
        clearTimeout(timer);
        isRunning = true;
        const succeeded = lease === undefined ? await register() : await renew(lease);
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
            stopped = true;
            clearTimeout(timer);
            if (lease !== undefined) {
                await store.endLease(lease);
            }
        },
    };
};
