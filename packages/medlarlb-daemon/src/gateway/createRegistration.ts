import type { InstanceId } from "medlarlb-types/instanceId";
import type { MetadataStore } from "medlarlb-types/metadataStore";
import { directoryKeys } from "./directoryKeys.js";

/** Time to live of an instance's entry in ms, and the interval of its renewal. */
const TTL_MS = 6_000;
const RENEW_MS = 2_000;
/** Time in ms after which a failed registration is tried again. */
const RETRY_MS = 500;

/** Creates the entry of this instance in the store, by which the others find it. */
export const createRegistration = (store: MetadataStore, instanceId: InstanceId, zone: string) => {
    let lease: number | undefined;
    let timer: NodeJS.Timeout | undefined;
    let stopped = false;

    const register = async (): Promise<boolean> => {
        const granted = await store.grantLease(TTL_MS);
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

    const renew = async (held: number): Promise<boolean> => {
        const renewed = await store.renewLease(held);
        if (renewed.isErr && renewed.error.kind === "noLease") {
            lease = undefined;
            return register();
        }
        return renewed.isOk;
    };

    const run = async (): Promise<void> => {
        const done = lease === undefined ? await register() : await renew(lease);
        if (!stopped) {
            timer = setTimeout(() => void run(), done ? RENEW_MS : RETRY_MS);
        }
    };

    return {
        start: (): void => void run(),
        stop: async (): Promise<void> => {
            stopped = true;
            clearTimeout(timer);
            if (lease !== undefined) {
                await store.endLease(lease);
            }
        },
    };
};
