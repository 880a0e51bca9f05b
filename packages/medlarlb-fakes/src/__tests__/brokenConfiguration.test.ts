import { setTimeout as sleep } from "node:timers/promises";
import { expect } from "chai";
import { request } from "undici";
import { waitFor } from "../cluster/waitFor.js";
import { createMetadataStoreServer } from "../site/createMetadataStoreServer.js";
import { createUserEngineServer } from "../site/createUserEngineServer.js";
import { createOperatorConfig } from "./support/createOperatorConfig.js";
import { listenOnFreePort } from "./support/listenOnFreePort.js";
import { startGatewayProcess } from "./support/startGatewayProcess.js";

/** Time in ms within which an acknowledged configuration has to be in force. */
const IN_FORCE_MS = 4_000;
/** Time in ms in which a document that is taken at all has long been taken. */
const READ_MS = 800;
const NO_ROUTE_STATUS = 404;

/** Creates a document with a route of its own, `/v<version>/`. */
const createDocument = (version: number) => {
    const config = createOperatorConfig(version);
    return { ...config, routes: [...config.routes, { ...config.routes[0], name: `v${version}`, prefix: `/v${version}/` }] };
};

/** Documents that can't be decoded. One field of another type is enough: a part of a version is no version. */
const brokenDocuments: Record<string, (version: number) => unknown> = {
    "that is cut short": version => JSON.stringify(createDocument(version)).slice(0, -9),
    "whose version is a text": version => ({ ...createDocument(version), version: String(version) }),
    "without limits": version => ({ ...createDocument(version), limits: undefined }),
    "whose services are no list": version => ({ ...createDocument(version), services: {} }),
    "with a route of an unknown kind": version => {
        const config = createDocument(version);
        return { ...config, routes: [...config.routes, { ...config.routes[0], name: "odd", prefix: "/odd/", kind: "odd" }] };
    },
    "with a time-out that is a text": version => {
        const config = createDocument(version);
        return { ...config, routes: config.routes.map(route => ({ ...route, timeout_ms: "2000" })) };
    },
};

describe("A gateway process that reads a broken configuration document", () => {
    const store = createMetadataStoreServer();
    const engine = createUserEngineServer("e1");
    const gateways: Awaited<ReturnType<typeof startGatewayProcess>>[] = [];
    let storeAddress = "";
    let version = 5;
    let valid = version;
    let sequence = 0;

    const write = (document: unknown): void => store.put("op/config", typeof document === "string" ? document : JSON.stringify(document));

    const readStatus = async (gateway: number, asked: number): Promise<number> => {
        sequence += 1;
        const headers = { "host": "site.example", "x-request-id": `r${sequence}`, "x-deadline-ms": "2000" };
        const res = await request(`http://${gateways[gateway]?.caller}/v${asked}/x`, { headers });
        await res.body.dump();
        return res.statusCode;
    };

    before(async () => {
        storeAddress = await listenOnFreePort(store.server);
        const address = await listenOnFreePort(engine.server);
        store.put("servers/e1", JSON.stringify({ service: "s", address, zone: "a", slots: 8, state: "ready", models: [], seq: 1 }));
        write(createDocument(version));
        gateways.push(await startGatewayProcess(storeAddress));
        await waitFor("the first version is in force", async () => await readStatus(0, version) === 200);
    });

    after(() => {
        gateways.forEach(gateway => gateway.stop());
        engine.close();
        store.close();
    });

    for (const [name, create] of Object.entries(brokenDocuments)) {
        it(`keeps the last valid version, and takes the next one, after a document ${name}`, async () => {
            version += 1;
            const broken = version;
            write(create(broken));
            await sleep(READ_MS);
            expect([await readStatus(0, broken), await readStatus(0, valid)]).to.deep.equal([NO_ROUTE_STATUS, 200]);
            version += 1;
            write(createDocument(version));
            await waitFor("the next version is in force", async () => await readStatus(0, version) === 200, IN_FORCE_MS);
            valid = version;
        });
    }

    it("keeps the last valid version after a document whose version falls", async () => {
        write(createDocument(valid - 1));
        await sleep(READ_MS);
        expect([await readStatus(0, valid - 1), await readStatus(0, valid)]).to.deep.equal([NO_ROUTE_STATUS, 200]);
        write(createDocument(valid));
    });

    it("has the last valid version from another instance when it starts while the store holds a broken one", async () => {
        write(brokenDocuments["without limits"]?.(version + 1));
        const startedAtMs = performance.now();
        gateways.push(await startGatewayProcess(storeAddress));
        await waitFor("the last valid version is in force", async () => await readStatus(1, valid) === 200, IN_FORCE_MS);
        expect(performance.now() - startedAtMs).to.be.below(IN_FORCE_MS);
        expect(await readStatus(1, version + 1)).to.equal(NO_ROUTE_STATUS);
    });
});
