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

/** Times in ms after a change by which an instance without disturbance is in touch, and in which a target drains. */
const CONTACT_MS = 3_000;
const DRAIN_MS = 2_000;
const REQUESTS = 30;
const LOST_CHANGES = 12;

describe("A gateway process that is cut off from the store while it comes back from an older copy", () => {
    const store = createMetadataStoreServer();
    const engines = ["e1", "e2", "e3"].map(id => createUserEngineServer(id));
    const addresses = new Map<string, string>();
    let relay: Awaited<ReturnType<typeof createTcpRelay>> | undefined;
    const gateways: Awaited<ReturnType<typeof startGatewayProcess>>[] = [];
    let sequence = 0;

    const writeEntry = (id: string, state = "ready"): void => store.put(`servers/${id}`, JSON.stringify({
        service: "s",
        address: addresses.get(id),
        zone: "a",
        slots: 8,
        state,
        models: [],
        seq: 1,
    }));

    const readAnswer = async (gateway: number): Promise<string> => {
        sequence += 1;
        const headers = { "host": "site.example", "x-request-id": `r${sequence}`, "x-deadline-ms": "2000" };
        return (await request(`http://${gateways[gateway]?.caller}/safe/x`, { headers })).body.text();
    };

    before(async () => {
        const address = await listenOnFreePort(store.server);
        relay = await createTcpRelay(address);
        store.put("op/config", JSON.stringify(createOperatorConfig(4)));
        for (const engine of engines) {
            addresses.set(engine.id, await listenOnFreePort(engine.server));
            writeEntry(engine.id);
        }
        gateways.push(await startGatewayProcess(address), await startGatewayProcess(relay.address));
        await waitFor("both forward requests", async () =>
            (await Promise.all([readAnswer(0), readAnswer(1)])).every(body => body.startsWith("answer of")));
        await sleep(1_000);
    });

    after(() => {
        gateways.forEach(gateway => gateway.stop());
        relay?.close();
        engines.forEach(engine => engine.close());
        store.close();
    });

    it("sends no request to targets that left since, of which other instances know", async () => {
        const copy = store.copy();
        Array.from({ length: LOST_CHANGES }, (_, index) => store.put("filler", String(index)));
        await sleep(300);
        relay?.setCut(true);
        store.restore(copy);
        await sleep(500);
        writeEntry("e1", "draining");
        store.remove("servers/e2");
        await sleep(CONTACT_MS + DRAIN_MS);
        const answers: string[] = [];
        while (answers.length < REQUESTS) {
            answers.push(await readAnswer(1));
        }
        expect(answers.filter(body => body !== "answer of e3")).to.deep.equal([]);
    });
});
