import type { InstanceId } from "medlarlb-types/instanceId";
import type { MetadataStore } from "medlarlb-types/metadataStore";
import type { TargetId } from "medlarlb-types/targetId";
import { createEngineControl } from "medlarlb-site-adapter/createEngineControl";
import { createStoreClient } from "medlarlb-site-adapter/createStoreClient";
import { createConnectionPool } from "medlarlb-targets/createConnectionPool";
import { createSingleUseConnections } from "medlarlb-targets/createSingleUseConnections";
import { createTextRequest } from "medlarlb-targets/createTextRequest";

interface ControlClientsOptions {
    storeAddress: string;
    instanceId: InstanceId;
    now: () => number;
    countStoreCall: (call: string) => void;
    onLeaving: (targetId: TargetId) => void;
}

interface ControlClients {
    store: MetadataStore;
    engines: ReturnType<typeof createEngineControl>;
}

/** Creates the clients of the metadata store and of the engines' orders and reports. */
export const createControlClients = (options: ControlClientsOptions): ControlClients => {
    const { storeAddress, instanceId, now, countStoreCall, onLeaving } = options;
    const request = createTextRequest(createConnectionPool({ now, countConnection: () => undefined }));
    return {
        store: createStoreClient({ address: storeAddress, request, countCall: countStoreCall }),
        // Answers to orders and reports carry no id, so each of these calls has a connection to itself.
        engines: createEngineControl(createTextRequest(createSingleUseConnections()), instanceId, onLeaving),
    };
};
