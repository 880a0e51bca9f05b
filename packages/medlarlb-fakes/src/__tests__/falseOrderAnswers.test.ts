import type { AddressInfo } from "node:net";
import { expect } from "chai";
import { request } from "undici";
import { waitFor } from "../cluster/waitFor.js";
import { listen } from "../shared/listen.js";
import { createMetadataStoreServer } from "../site/createMetadataStoreServer.js";
import { createScriptedEngineServer } from "../site/createScriptedEngineServer.js";
import { createOperatorConfig } from "./support/createOperatorConfig.js";
import { listenOnFreePort } from "./support/listenOnFreePort.js";
import { startGatewayProcess } from "./support/startGatewayProcess.js";

const ROUTE_HOST = "site.example";
const ORDER_COUNT = 2;

const models = ["m1", "m2"].map(name => ({ name, weights_mb: 100, load_time_s: 0.1, adapters: 0, adapter_mb: 0 }));

/** An operator's configuration whose service "s" has engines with room for one model. */
const config = {
    ...createOperatorConfig(3),
    services: [
        { name: "s", health_path: "/health", max_conns: 50, engine: { slots: 8, kv_capacity: 10_000, weights_mb: 150, adapter_slots: 0, loads_per_s: 5, models } },
        { name: "other", health_path: "/health", max_conns: 50 },
    ],
};

const writeAnswer = (status: number, body = ""): string =>
    `HTTP/1.1 ${status} Any\r\nKeep-Alive: timeout=10\r\nContent-Length: ${body.length}\r\n\r\n${body}`;

const heldModels = [{ name: "m1", version: 1, adapters: [] }];

describe("A gateway process whose engine answers control calls a second time", () => {
    const store = createMetadataStoreServer();
    const engine = createScriptedEngineServer(({ path, previousIds }, socket) => {
        const late = previousIds.length === 0 ? "" : writeAnswer(202);
        if (path === "/api/report") {
            socket.write(late + writeAnswer(200, JSON.stringify({ models: heldModels, in_flight: false, seq: 4 })));
            return;
        }
        socket.write(late + writeAnswer(path === "/api/order" ? 409 : 421));
    });
    let gateway: Awaited<ReturnType<typeof startGatewayProcess>>;

    before(async () => {
        await listenOnFreePort(store.server);
        store.put("op/config", JSON.stringify(config));
        const address = `127.0.0.1:${await listen(engine.server, 0)}`;
        store.put("servers/e1", JSON.stringify({ service: "s", address, zone: "a", slots: 8, state: "ready", models: heldModels, seq: 1 }));
        gateway = await startGatewayProcess(`127.0.0.1:${(store.server.address() as AddressInfo).port}`);
    });

    after(() => {
        gateway.stop();
        engine.close();
        store.close();
    });

    it("takes no late answer for that to an order", async () => {
        const outcomes = (): unknown[] => gateway.log.filter(each => each.event === "orderAnswered").map(each => each.answer);
        await waitFor("the engine has answered orders", async () => {
            await request(`http://${gateway.caller}/stream/x`, {
                method: "POST",
                headers: { "host": ROUTE_HOST, "x-request-id": `r${performance.now()}`, "x-model": "m2", "x-token-count": "10,10", "x-deadline-ms": "300" },
                body: "x",
            }).then(res => res.body.dump());
            return outcomes().length >= ORDER_COUNT;
        });
        expect(new Set(outcomes())).to.deep.equal(new Set(["conflict"]));
    }).timeout(60_000);
});
