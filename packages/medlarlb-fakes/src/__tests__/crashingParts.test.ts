import type { AddressInfo } from "node:net";
import { expect } from "chai";
import { request } from "undici";
import { waitFor } from "../cluster/waitFor.js";
import { createMetadataStoreServer } from "../site/createMetadataStoreServer.js";
import { createUserEngineServer } from "../site/createUserEngineServer.js";
import { createOperatorConfig } from "./support/createOperatorConfig.js";
import { listenOnFreePort } from "./support/listenOnFreePort.js";
import { startGatewayProcess } from "./support/startGatewayProcess.js";
import { waitForAnswer } from "./support/waitForAnswer.js";

describe("Two gateway processes whose targets end under requests with one part in their prompts", () => {
    const store = createMetadataStoreServer();
    const engines = ["e1", "e2", "e3", "e4", "e5"].map(id => createUserEngineServer(id));
    const gateways: Awaited<ReturnType<typeof startGatewayProcess>>[] = [];
    let sequence = 0;

    const sendRequest = async (gateway: number, path: string, ...sharedParts: string[]) => {
        sequence += 1;
        const headers = {
            "host": "site.example",
            "x-request-id": `r${sequence}`,
            "x-deadline-ms": "2000",
            "x-prompt-prefix": [...sharedParts, `${sequence}`].map(id => `${id}:10`).join(),
        };
        const res = await request(`http://${gateways[gateway]?.caller}${path}`, { headers });
        return { status: res.statusCode, text: await res.body.text() };
    };

    before(async () => {
        await listenOnFreePort(store.server);
        store.put("op/config", JSON.stringify(createOperatorConfig(3)));
        for (const engine of engines) {
            const address = await listenOnFreePort(engine.server);
            store.put(`servers/${engine.id}`, JSON.stringify({ service: "other", address, zone: "a", slots: 8, state: "ready", models: [], seq: 1 }));
            engine.setBehavior("ending");
        }
        const storeAddress = `127.0.0.1:${(store.server.address() as AddressInfo).port}`;
        gateways.push(await startGatewayProcess(storeAddress));
        gateways.push(await startGatewayProcess(storeAddress));
        for (const gateway of gateways) {
            await waitForAnswer(gateway.caller, "/other/x");
            await waitFor("the gateways know each other", () => gateway.log.some(each => each.event === "retryShare"));
        }
    });

    after(() => {
        gateways.forEach(gateway => gateway.stop());
        engines.forEach(engine => engine.close());
        store.close();
    });

    it("refuse further ones after four ends, each of them, and serve requests that share the other parts", async () => {
        expect((await sendRequest(0, "/other/x", "f125")).status).to.equal(200);
        for (let index = 0; index < 4; index += 1) {
            expect((await sendRequest(index % 2, `/other/${index}/crash`, "f125", "c4a5")).status).to.equal(502);
            await waitFor("the end of the target is known", async () => (await sendRequest(0, "/other/x", "f125")).status === 200);
        }
        for (const gateway of [0, 1]) {
            const refusal = await sendRequest(gateway, "/other/5/crash", "f125", "c4a5");
            expect(refusal.status).to.equal(503);
            expect(refusal.text).to.include("4 targets have ended under requests with the prompt part c4a5; leave it out");
            expect((await sendRequest(gateway, "/other/x", "f125")).status).to.equal(200);
        }
        expect(engines.filter(engine => engine.server.listening)).to.have.length(1);
    });
});
