import { setTimeout as sleep } from "node:timers/promises";
import { expect } from "chai";
import { request } from "undici";
import { waitFor } from "../cluster/waitFor.js";
import { createMetadataStoreServer } from "../site/createMetadataStoreServer.js";
import { createUserEngineServer } from "../site/createUserEngineServer.js";
import { createOperatorConfig } from "./support/createOperatorConfig.js";
import { listenOnFreePort } from "./support/listenOnFreePort.js";
import { startGatewayProcess } from "./support/startGatewayProcess.js";

/** Time in ms in which a document is known to all instances, and in which those that it ends have ended. */
const KNOWN_MS = 1_500;
const OLD_VERSION = 4;
const NEW_VERSION = 5;
/** A version of nanoseconds since 1970, which is above the largest safe integer. */
const NANOSECOND_VERSION = 1_780_000_000_000_000_000;

type Config = ReturnType<typeof createOperatorConfig>;
type Gateway = Awaited<ReturnType<typeof startGatewayProcess>>;

/** Documents of which a part has a value that nothing can have. JSON has null for an undefined member of a list. */
const oddDocuments: Record<string, (config: Config) => unknown> = {
    "a route that is null": config => ({ ...config, routes: [...config.routes, undefined] }),
    "a destination that is null": config =>
        ({ ...config, routes: config.routes.map(route => ({ ...route, traffic_split: [undefined, { service: "s", weight: 1 }] })) }),
    "a negative idle time-out": config => ({ ...config, limits: { ...config.limits, idle_timeout_ms: -2_000 } }),
};

describe("Two gateway processes that read a configuration", () => {
    let store: ReturnType<typeof createMetadataStoreServer>;
    let engine: ReturnType<typeof createUserEngineServer>;
    let storeAddress = "";
    let gateways: Gateway[] = [];

    const send = async (gateway: Gateway): Promise<number | string> => {
        const headers = { "host": "site.example", "x-request-id": "r1", "x-deadline-ms": "2000" };
        const res = await request(`http://${gateway.caller}/safe/x`, { headers }).catch((err: Error) => err.message);
        if (typeof res === "string") {
            return res;
        }
        await res.body.dump();
        return res.statusCode;
    };

    beforeEach(async () => {
        store = createMetadataStoreServer();
        engine = createUserEngineServer("e1");
        storeAddress = await listenOnFreePort(store.server);
        store.put("op/config", JSON.stringify(createOperatorConfig(OLD_VERSION)));
        store.put("servers/e1", JSON.stringify({ service: "s", address: await listenOnFreePort(engine.server), zone: "a", slots: 8, state: "ready", models: [], seq: 1 }));
        const first = await startGatewayProcess(storeAddress);
        gateways = [first];
        gateways.push(await startGatewayProcess(storeAddress, { seeds: first.peer }));
        await waitFor("both forward requests", async () => (await Promise.all(gateways.map(send))).every(each => each === 200));
    });

    afterEach(() => {
        gateways.forEach(gateway => gateway.stop());
        engine.close();
        store.close();
    });

    // FAULT: the processes ended, or answered no request with 200.
    for (const [name, create] of Object.entries(oddDocuments)) {
        it(`serve with ${name}`, async () => {
            store.put("op/config", JSON.stringify(create(createOperatorConfig(NEW_VERSION))));
            await sleep(KNOWN_MS);
            const answers = [await Promise.all(gateways.map(send)), await Promise.all(gateways.map(send))];
            await sleep(KNOWN_MS);
            const expected = { answers: [[200, 200], [200, 200]], ended: [false, false] };
            expect({ answers, ended: gateways.map(each => each.hasEnded()) }).to.deep.equal(expected);
        }).timeout(20_000);
    }

    // FAULT: the revision in the probes was refused, so that each instance dropped all probes of the others.
    it("understand each other's messages if its version is above the largest safe integer", async () => {
        store.put("op/config", JSON.stringify(createOperatorConfig(NANOSECOND_VERSION)));
        await sleep(KNOWN_MS);
        await sleep(KNOWN_MS);
        const broken = gateways.flatMap(({ log }) => log.filter(each => each["event"] === "messageBroken"));
        expect(broken.map(({ kind, reason }) => ({ kind, reason }))).to.deep.equal([]);
    }).timeout(20_000);
});
