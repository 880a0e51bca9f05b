import type { AddressInfo, Socket } from "node:net";
import { expect } from "chai";
import { request } from "undici";
import { waitFor } from "../cluster/waitFor.js";
import { listen } from "../shared/listen.js";
import { createMetadataStoreServer } from "../site/createMetadataStoreServer.js";
import { createScriptedEngineServer } from "../site/createScriptedEngineServer.js";
import { createOperatorConfig } from "./support/createOperatorConfig.js";
import { listenOnFreePort } from "./support/listenOnFreePort.js";
import { startGatewayProcess } from "./support/startGatewayProcess.js";

/** Connections that a target accepts. It resets others. */
const MAX_CONNECTION_COUNT = 10;
/** Time in ms for which targets refuse a request. */
const FULL_MS = 700;

const writeAnswer = (status: number, headers: readonly string[], body = ""): string =>
    [`HTTP/1.1 ${status} Any`, ...headers, `Content-Length: ${body.length}`, "", body].join("\r\n");

describe("A gateway process whose targets are full for a while and accept few connections", () => {
    const store = createMetadataStoreServer();
    let fullUntilMs = 0;
    let resetCount = 0;
    const engines = ["e1", "e2"].map(() => {
        const engine = createScriptedEngineServer(({ id, path }, socket) => {
            if (path === "/api/report") {
                socket.write(writeAnswer(200, [], JSON.stringify({ models: [], in_flight: false, seq: 0 })));
                return;
            }
            const isFull = performance.now() < fullUntilMs;
            const named = `X-Request-Id: ${id}`;
            socket.write(isFull ? writeAnswer(503, [named, "X-Not-Run: 1"]) : writeAnswer(200, [named, "X-Response-Stamp: s"], "whole"));
        });
        let openCount = 0;
        engine.server.on("connection", (socket: Socket) => {
            openCount += 1;
            socket.once("close", () => {
                openCount -= 1;
            });
            if (openCount > MAX_CONNECTION_COUNT) {
                resetCount += 1;
                socket.resetAndDestroy();
            }
        });
        return engine;
    });
    let gateway: Awaited<ReturnType<typeof startGatewayProcess>>;

    const sendRequest = async (id: string): Promise<number> => {
        const headers = { "host": "site.example", "x-request-id": id, "x-deadline-ms": "2000" };
        const res = await request(`http://${gateway.caller}/unsafe/x`, { method: "POST", headers, body: "x" });
        await res.body.dump();
        return res.statusCode;
    };

    before(async () => {
        await listenOnFreePort(store.server);
        store.put("op/config", JSON.stringify(createOperatorConfig(3)));
        for (const [index, { server }] of engines.entries()) {
            const address = `127.0.0.1:${await listen(server, 0)}`;
            store.put(`servers/e${index + 1}`, JSON.stringify({ service: "s", address, zone: "a", slots: 8, state: "ready", models: [], seq: 1 }));
        }
        gateway = await startGatewayProcess(`127.0.0.1:${(store.server.address() as AddressInfo).port}`);
        await waitFor("the gateway forwards to its targets", async () => await sendRequest("first") === 200);
    });

    after(() => {
        gateway.stop();
        engines.forEach(engine => engine.close());
        store.close();
    });

    it("sends a refused request again without exceeding the connections that its targets accept", async () => {
        fullUntilMs = performance.now() + FULL_MS;
        expect({ status: await sendRequest("r1"), resetCount }).to.deep.equal({ status: 200, resetCount: 0 });
    });
});
