import type { InstanceId } from "medlarlb-types/instanceId";
import type { MetadataStore } from "medlarlb-types/metadataStore";
import type { TargetId } from "medlarlb-types/targetId";
import { createEngineControl } from "medlarlb-site-adapter/createEngineControl";
import { createStoreClient } from "medlarlb-site-adapter/createStoreClient";
import { readAnswerId } from "medlarlb-site-adapter/readAnswerId";
import { createConnectionPool } from "medlarlb-targets/createConnectionPool";
import { createTextRequest } from "medlarlb-targets/createTextRequest";

interface ControlClientsOptions {
    storeAddress: string;
    instanceId: InstanceId;
    now: () => number;
    countStoreCall: (call: string) => void;
    /** Called when the store's answers name a later era, with that of the answers before. */
    onStoreEra: (era: number, previous: number) => void;
    onLeaving: (targetId: TargetId) => void;
}

interface ControlClients {
    store: MetadataStore;
    engines: ReturnType<typeof createEngineControl>;
}

/** Creates the clients of the metadata store and of the engines' orders and reports. */
export const createControlClients = (options: ControlClientsOptions): ControlClients => {
    const { storeAddress, instanceId, now, countStoreCall, onStoreEra, onLeaving } = options;
    const pool = createConnectionPool({ now, countConnection: () => undefined, readAnswerId });
    // Answers to orders and report requests name no request, so each of these calls needs a connection that has carried none.
    const enginePool: typeof pool = {
        ...pool,
        send: (address, message, handlers) => pool.send(address, { ...message, requestId: "" }, handlers),
    };
    return {
        store: createStoreClient({ address: storeAddress, request: createTextRequest(pool), countCall: countStoreCall, onEra: onStoreEra }),
        engines: createEngineControl(createTextRequest(enginePool), instanceId, onLeaving),
    };
};
