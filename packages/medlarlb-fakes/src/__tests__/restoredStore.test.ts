import { setTimeout as sleep } from "node:timers/promises";
import type { AddressInfo } from "node:net";
import { expect } from "chai";
import { request } from "undici";
import { waitFor } from "../cluster/waitFor.js";
import { createMetadataStoreServer } from "../site/createMetadataStoreServer.js";
import { createUserEngineServer } from "../site/createUserEngineServer.js";
import { createOperatorConfig } from "./support/createOperatorConfig.js";
import { listenOnFreePort } from "./support/listenOnFreePort.js";
import { startGatewayProcess } from "./support/startGatewayProcess.js";

/** Time in ms within which an acknowledged configuration has to be in force on all instances. */
const IN_FORCE_MS = 4_000;
/** Time in ms after an acknowledgement that a target drains from which no new request may reach it. */
const DRAIN_MS = 2_000;
/** Time in ms after its return by which what the operator and the targets wrote is written again. */
const WRITTEN_AGAIN_MS = 700;
/** Number of changes that the store loses, so that it gives their revisions out again. */
const LOST_CHANGES = 12;
/** Requests that are sent one after the other, with a pause in ms after each, so that they take 3 s or more. */
const REQUESTS_AFTER_RETURN = 150;
const REQUEST_PAUSE_MS = 20;

describe("Two gateway processes whose store comes back from an older copy", () => {
    const store = createMetadataStoreServer();
    const engines = ["e1", "e2", "e3"].map(id => createUserEngineServer(id));
    const addresses = new Map<string, string>();
    const gateways: Awaited<ReturnType<typeof startGatewayProcess>>[] = [];
    let sequence = 0;

    /** Writes a configuration in which each version from 4 on has a route of its own. */
    const writeConfig = (version: number): void => {
        const config = createOperatorConfig(version);
        const added = Array.from({ length: version - 3 }, (_, index) => ({ ...config.routes[0], name: `v${index + 4}`, prefix: `/v${index + 4}/` }));
        store.put("op/config", JSON.stringify({ ...config, routes: [...config.routes, ...added] }));
    };

    const writeEntry = (id: string, state = "ready"): void =>
        store.put(`servers/${id}`, JSON.stringify({ service: "s", address: addresses.get(id), zone: "a", slots: 8, state, models: [], seq: 1 }));

    const readAnswer = async (gateway: number, path: string): Promise<{ status: number; body: string }> => {
        sequence += 1;
        const headers = { "host": "site.example", "x-request-id": `r${sequence}`, "x-deadline-ms": "2000" };
        const res = await request(`http://${gateways[gateway]?.caller}${path}`, { headers });
        return { status: res.statusCode, body: await res.body.text() };
    };

    const sendRequest = async (gateway: number, path: string): Promise<number> => (await readAnswer(gateway, path)).status;

    const isInForce = async (version: number): Promise<boolean> =>
        (await Promise.all(gateways.map((_, index) => sendRequest(index, `/v${version}/x`)))).every(status => status === 200);

    /** Returns a copy of the store, and has the store make changes that a return to the copy loses. */
    const copyStore = (): ReturnType<typeof store.copy> => {
        const copy = store.copy();
        for (let index = 0; index < LOST_CHANGES; index += 1) {
            store.put("filler", String(index));
        }
        return copy;
    };

    beforeEach(async () => {
        for (const engine of engines) {
            addresses.set(engine.id, addresses.get(engine.id) ?? await listenOnFreePort(engine.server));
            writeEntry(engine.id);
        }
        if (gateways.length === 0) {
            await listenOnFreePort(store.server);
            writeConfig(4);
            const address = `127.0.0.1:${(store.server.address() as AddressInfo).port}`;
            gateways.push(await startGatewayProcess(address));
            gateways.push(await startGatewayProcess(address));
        }
        await waitFor("the gateways forward requests", () => isInForce(4));
        await sleep(1_000);
    });

    after(() => {
        gateways.forEach(gateway => gateway.stop());
        engines.forEach(engine => engine.close());
        store.close();
    });

    it("apply a configuration that is acknowledged after the return, and none that is older", async () => {
        const copy = copyStore();
        writeConfig(5);
        await waitFor("version 5 is in force", () => isInForce(5));
        store.restore(copy);
        const statuses: number[] = [];
        for (const endMs = performance.now() + WRITTEN_AGAIN_MS; performance.now() < endMs; await sleep(20)) {
            statuses.push(await sendRequest(sequence % 2, "/v5/x"));
        }
        writeConfig(5);
        engines.forEach(engine => writeEntry(engine.id));
        await sleep(300);
        writeConfig(6);
        const acknowledgedAtMs = performance.now();
        expect(store.revision()).to.be.below(copy.revision + LOST_CHANGES);
        await waitFor("version 6 is in force", () => isInForce(6), IN_FORCE_MS + 2_000).catch(() => undefined);
        expect(performance.now() - acknowledgedAtMs).to.be.below(IN_FORCE_MS);
        expect([...new Set(statuses)], "version 5 stays in force").to.deep.equal([200]);
    });

    it("send no request to a target that was draining, or gone, when the copy calls it ready", async () => {
        const copy = copyStore();
        writeEntry("e1", "draining");
        store.remove("servers/e2");
        await sleep(DRAIN_MS);
        store.restore(copy);
        const counts = engines.map(engine => engine.runs.length);
        const answers: { status: number; body: string }[] = [];
        while (answers.length < REQUESTS_AFTER_RETURN) {
            answers.push(await readAnswer(answers.length % 2, "/safe/x"));
            await sleep(REQUEST_PAUSE_MS);
        }
        const received = engines.map((engine, index) => engine.runs.length - (counts[index] ?? 0));
        expect(received).to.deep.equal([0, 0, REQUESTS_AFTER_RETURN]);
        expect(answers.filter(({ status, body }) => status !== 200 || body !== "answer of e3"), "requests that e3 didn't answer").to.deep.equal([]);
    });
});
