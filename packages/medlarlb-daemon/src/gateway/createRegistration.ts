import type { InstanceId } from "medlarlb-types/instanceId";
import type { MetadataStore } from "medlarlb-types/metadataStore";
import { directoryKeys } from "./directoryKeys.js";

/** Time to live of an instance's entry in ms, and the interval of its renewal. */
const LEASE_TTL_MS = 6_000;
const RENEWAL_INTERVAL_MS = 2_000;
/** Time in ms after which a failed registration is tried again. */
const RETRY_DELAY_MS = 500;

/** Creates the entry of this instance in the store, by which the others find it. */
export const createRegistration = (store: MetadataStore, instanceId: InstanceId, zone: string) => {
    let lease: number | undefined;
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

    const renew = async (currentLease: number): Promise<boolean> => {
        const renewed = await store.renewLease(currentLease);
        if (renewed.isErr && renewed.error.kind === "noLease") {
            lease = undefined;
            return register();
        }
        return renewed.isOk;
    };

    const registerOrRenew = async (): Promise<void> => {
        const succeeded = lease === undefined ? await register() : await renew(lease);
        if (!stopped) {
            timer = setTimeout(() => void registerOrRenew(), succeeded ? RENEWAL_INTERVAL_MS : RETRY_DELAY_MS);
        }
    };

    return {
        start: (): void => void registerOrRenew(),
        stop: async (): Promise<void> => {
            stopped = true;
            clearTimeout(timer);
            if (lease !== undefined) {
                await store.endLease(lease);
            }
        },
    };
};
