import { createServer } from "node:http";
import type { Server } from "node:http";
import { setTimeout as sleep } from "node:timers/promises";
import { expect } from "chai";
import { request } from "undici";
import { waitFor } from "../cluster/waitFor.js";
import { createMetadataStoreServer } from "../site/createMetadataStoreServer.js";
import { createUserEngineServer } from "../site/createUserEngineServer.js";
import { createOperatorConfig } from "./support/createOperatorConfig.js";
import { listenOnFreePort } from "./support/listenOnFreePort.js";
import { startGatewayProcess } from "./support/startGatewayProcess.js";

/** Time in ms in which a process has read the store's list several times. */
const READ_MS = 2_000;

type Gateway = Awaited<ReturnType<typeof startGatewayProcess>>;

describe("A gateway process whose store lists null beside its entries", () => {
    const store = createMetadataStoreServer();
    const engine = createUserEngineServer("e1");
    let front: Server;
    let frontAddress = "";
    let isOdd = false;
    let gateways: Gateway[] = [];

    const send = async (gateway: Gateway): Promise<number> => {
        const res = await request(`http://${gateway.caller}/safe/x`, { headers: { "host": "site.example", "x-request-id": "r1", "x-deadline-ms": "2000" } });
        await res.body.dump();
        return res.statusCode;
    };

    before(async () => {
        const storeAddress = await listenOnFreePort(store.server);
        store.put("op/config", JSON.stringify(createOperatorConfig(4)));
        store.put("servers/e1", JSON.stringify({ service: "s", address: await listenOnFreePort(engine.server), zone: "a", slots: 8, state: "ready", models: [], seq: 1 }));
        front = createServer((req, res) => {
            const forward = async (): Promise<void> => {
                const chunks: Buffer[] = [];
                for await (const chunk of req) {
                    chunks.push(chunk as Buffer);
                }
                const answer = await request(`http://${storeAddress}${req.url}`, { method: req.method as "GET", body: chunks.length === 0 ? undefined : Buffer.concat(chunks) });
                const body = await answer.body.json() as { items?: unknown[] };
                if (isOdd && req.url?.startsWith("/api/kv-range") === true) {
                    body.items?.push(undefined); // JSON has null for it
                }
                res.writeHead(answer.statusCode, { "content-type": "application/json", "store-era": "0" }).end(JSON.stringify(body));
            };
            forward().catch(() => res.destroy());
        });
        frontAddress = await listenOnFreePort(front);
    });

    afterEach(() => {
        gateways.forEach(gateway => gateway.stop());
        gateways = [];
        isOdd = false;
    });

    after(() => {
        engine.close();
        store.close();
        front.closeAllConnections();
        front.close();
    });

    // FAULT: the process ended.
    it("goes on when it starts with such a list", async () => {
        isOdd = true;
        const gateway = await startGatewayProcess(frontAddress, { awaitReady: false });
        gateways.push(gateway);
        await sleep(READ_MS);
        expect(gateway.hasEnded()).to.equal(false);
        isOdd = false;
        await waitFor("it forwards requests", async () => await send(gateway) === 200);
    }).timeout(20_000);
});
