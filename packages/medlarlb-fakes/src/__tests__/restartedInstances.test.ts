import type { AddressInfo } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { expect } from "chai";
import { request } from "undici";
import { waitFor } from "../cluster/waitFor.js";
import { createMetadataStoreServer } from "../site/createMetadataStoreServer.js";
import { createUserEngineServer } from "../site/createUserEngineServer.js";
import { createOperatorConfig } from "./support/createOperatorConfig.js";
import { createTcpRelay } from "./support/createTcpRelay.js";
import { listenOnFreePort } from "./support/listenOnFreePort.js";
import { startGatewayProcess } from "./support/startGatewayProcess.js";

/** Time in ms after which all instances know what a target has written or said. */
const KNOWN_MS = 1_000;
/** Requests that are sent one after the other, with a pause in ms after each, so that they take 3 s or more. */
const REQUESTS = 150;
const REQUEST_PAUSE_MS = 20;

describe("A gateway process that starts again after a target has left", () => {
    let store: ReturnType<typeof createMetadataStoreServer>;
    let relay: Awaited<ReturnType<typeof createTcpRelay>>;
    let engines: ReturnType<typeof createUserEngineServer>[];
    const addresses = new Map<string, string>();
    let gateways: Awaited<ReturnType<typeof startGatewayProcess>>[];
    let sequence = 0;

    const writeEntry = (id: string, state = "ready"): void =>
        store.put(`servers/${id}`, JSON.stringify({ service: "s", address: addresses.get(id), zone: "a", slots: 8, state, models: [], seq: 1 }));

    const send = async (gateway: number): Promise<string> => {
        sequence += 1;
        const headers = { "host": "site.example", "x-request-id": `r${sequence}`, "x-deadline-ms": "2000" };
        const res = await request(`http://${gateways[gateway]?.caller}/safe/x`, { headers });
        return `${res.statusCode} ${await res.body.text()}`;
    };

    /** Ends processes without notice and starts them again on their addresses. */
    const restart = async (...indices: number[]): Promise<void> => {
        indices.forEach(index => gateways[index]?.stop());
        await Promise.all(indices.map(async index => {
            const seeds = gateways.filter((_, other) => other !== index).map(each => each.peer).join();
            gateways[index] = await startGatewayProcess(relay.address, { ended: gateways[index], seeds });
        }));
    };

    /** Sends requests to some gateways, and returns how many each engine has run. */
    const countRuns = async (...indices: number[]): Promise<number[]> => {
        const before = engines.map(engine => engine.runs.length);
        for (let index = 0; index < REQUESTS; index += 1) {
            expect(await send(indices[index % indices.length] ?? 0)).to.match(/^200 answer of e\d$/);
            await sleep(REQUEST_PAUSE_MS);
        }
        return engines.map((engine, index) => engine.runs.length - (before[index] ?? 0));
    };

    beforeEach(async () => {
        store = createMetadataStoreServer();
        engines = ["e1", "e2", "e3"].map(id => createUserEngineServer(id));
        await listenOnFreePort(store.server);
        relay = await createTcpRelay(`127.0.0.1:${(store.server.address() as AddressInfo).port}`);
        store.put("op/config", JSON.stringify(createOperatorConfig(3)));
        for (const engine of engines) {
            addresses.set(engine.id, await listenOnFreePort(engine.server));
            writeEntry(engine.id);
        }
        gateways = [await startGatewayProcess(relay.address), await startGatewayProcess(relay.address)];
        await waitFor("the gateways forward requests", async () => (await Promise.all([send(0), send(1)])).every(each => each.startsWith("200")));
        await sleep(KNOWN_MS);
    });

    afterEach(() => {
        gateways.forEach(gateway => gateway.stop());
        engines.forEach(engine => engine.close());
        relay.close();
        store.close();
    });

    /** Has e1 drain and e2 be removed, as the store says. */
    const leave = async (): Promise<void> => {
        writeEntry("e1", "draining");
        store.remove("servers/e2");
        await sleep(KNOWN_MS);
    };

    it("sends it nothing if it had said so in its answers only", async () => {
        engines[0]?.setBehavior("leaving");
        await waitFor("a gateway knows", async () => {
            await send(0);
            return gateways[0]?.log.some(line => line.event === "targetState" && line.target === "e1");
        });
        await sleep(KNOWN_MS);
        await restart(1);
        expect((await countRuns(1))[0]).to.equal(0);
    }).timeout(40_000);

    it("sends it nothing if the store says so", async () => {
        await leave();
        await restart(1);
        expect(await countRuns(1)).to.deep.equal([0, 0, REQUESTS]);
    }).timeout(40_000);

    it("sends it nothing if it learns from others while the store is unavailable", async () => {
        await leave();
        relay.setCut(true);
        const before = engines.map(engine => engine.runs.length);
        await restart(1);
        await waitFor("the targets are known from the other gateway", async () => (await send(1)).startsWith("200"));
        await countRuns(1);
        expect(engines.slice(0, 2).map((engine, index) => engine.runs.length - (before[index] ?? 0))).to.deep.equal([0, 0]);
    }).timeout(40_000);

    // The store's copy says nothing of it, but the other gateway tells the new process which targets leave.
    it("sends it nothing although the store has come back from an older copy that calls it ready", async () => {
        const copy = store.copy();
        writeEntry("e1", "draining");
        await sleep(KNOWN_MS);
        store.restore(copy);
        await restart(1);
        expect((await countRuns(1))[0]).to.equal(0);
    }).timeout(40_000);

    it("sends it nothing although the store has come back from an older copy that lists it still", async () => {
        const copy = store.copy();
        store.remove("servers/e2");
        await sleep(KNOWN_MS);
        store.restore(copy);
        await restart(1);
        expect((await countRuns(1))[1]).to.equal(0);
    }).timeout(40_000);

    it("sends it nothing if all processes start again and the store says so", async () => {
        await leave();
        await restart(0, 1);
        expect(await countRuns(0, 1)).to.deep.equal([0, 0, REQUESTS]);
    }).timeout(40_000);
});
