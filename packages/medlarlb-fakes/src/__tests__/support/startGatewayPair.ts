import { request } from "undici";
import { waitFor } from "../../cluster/waitFor.js";
import { createMetadataStoreServer } from "../../site/createMetadataStoreServer.js";
import { createUserEngineServer } from "../../site/createUserEngineServer.js";
import { listenOnFreePort } from "./listenOnFreePort.js";
import { startGatewayProcess } from "./startGatewayProcess.js";

type Gateway = Awaited<ReturnType<typeof startGatewayProcess>>;

interface PairOptions {
    models?: readonly unknown[];
    headers?: Record<string, string>;
}

const SOUND_HEADERS = { "host": "site.example", "x-request-id": "r1", "x-deadline-ms": "2000" };

/** Sends a request to a gateway, and returns the status of its answer, or the reason why there is none. */
const sendTo = async (gateway: Gateway, headers: Record<string, string> = {}): Promise<number | string> => {
    const res = await request(`http://${gateway.caller}/safe/x`, { headers: { ...SOUND_HEADERS, ...headers } }).catch((err: Error) => err.message);
    if (typeof res === "string") {
        return res;
    }
    await res.body.dump();
    return res.statusCode;
};

/**
 * Starts a store with a configuration and an engine that holds models, and two gateway processes that know each other. Waits until
 * both forward requests with the given headers.
 */
export const startGatewayPair = async (config: unknown, { models = [], headers = {} }: PairOptions = {}) => {
    const store = createMetadataStoreServer();
    const engine = createUserEngineServer("e1");
    const storeAddress = await listenOnFreePort(store.server);
    store.put("op/config", JSON.stringify(config));
    store.put("servers/e1", JSON.stringify({ service: "s", address: await listenOnFreePort(engine.server), zone: "a", slots: 8, state: "ready", models, seq: 1 }));
    const first = await startGatewayProcess(storeAddress);
    const gateways = [first, await startGatewayProcess(storeAddress, { seeds: first.peer })];
    const sendToEach = () => Promise.all(gateways.map(each => sendTo(each, headers)));
    await waitFor("both forward requests", async () => (await sendToEach()).every(each => each === 200));
    return {
        store,
        gateways,
        /** Sends a request to each gateway, and returns the statuses of the answers, or the reasons why there are none. */
        sendToEach,
        /** Sends a request with further headers to the first gateway. */
        sendToFirst: (added: Record<string, string>) => sendTo(first, { ...headers, ...added }),
        /** Returns the messages between the gateways that could not be read. */
        listBrokenMessages: () => gateways.flatMap(({ log }) => log.filter(({ event }) => event === "messageBroken"))
            .map(({ kind, reason }) => ({ kind, reason })),
        stop: (): void => {
            gateways.forEach(gateway => gateway.stop());
            engine.close();
            store.close();
        },
    };
};
