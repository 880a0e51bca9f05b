import { execFileSync } from "node:child_process";
import { readdirSync } from "node:fs";
import { createConnection } from "node:net";
import type { Socket } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { expect } from "chai";
import { request } from "undici";
import { waitFor } from "../cluster/waitFor.js";
import { createMetadataStoreServer } from "../site/createMetadataStoreServer.js";
import { createUserEngineServer } from "../site/createUserEngineServer.js";
import { createOperatorConfig } from "./support/createOperatorConfig.js";
import { listenOnFreePort } from "./support/listenOnFreePort.js";
import { startGatewayProcess } from "./support/startGatewayProcess.js";

const SPARE_DESCRIPTORS = 6;
const CONNECTIONS = 40;
const ROUNDS = 3;
const ROUND_MS = 600;

describe("A gateway process without free descriptors", () => {
    const store = createMetadataStoreServer();
    const engine = createUserEngineServer("e1");
    let gateway: Awaited<ReturnType<typeof startGatewayProcess>> | undefined;
    let sequence = 0;

    after(() => {
        gateway?.stop();
        engine.close();
        store.close();
    });

    it("goes on, and serves once there are some again", async () => {
        const storeAddress = await listenOnFreePort(store.server);
        store.put("op/config", JSON.stringify(createOperatorConfig(3)));
        const address = await listenOnFreePort(engine.server);
        store.put("servers/e1", JSON.stringify({ service: "s", address, zone: "a", slots: 8, state: "ready", models: [], seq: 1 }));
        const started = await startGatewayProcess(storeAddress);
        gateway = started;
        const send = async (): Promise<number> => {
            sequence += 1;
            const headers = { "host": "site.example", "x-request-id": `r${sequence}`, "x-deadline-ms": "2000", "connection": "close" };
            const res = await request(`http://${started.caller}/safe/x`, { headers });
            await res.body.dump();
            return res.statusCode;
        };
        await waitFor("it forwards", async () => await send() === 200);
        await waitFor("the log has its first lines", () => started.log.length > 0);
        const pid = String(started.log.find(each => each.event === "started")?.pid);
        const countDescriptors = (): number => readdirSync(`/proc/${pid}/fd`).length;
        const open = countDescriptors();
        execFileSync("prlimit", ["--pid", pid, `--nofile=${open + SPARE_DESCRIPTORS}:`]);
        for (let round = 0; round < ROUNDS; round += 1) {
            const sockets: Socket[] = [started.caller, started.peer, started.metrics, started.readiness].flatMap(address =>
                Array.from({ length: CONNECTIONS }, () => {
                    const [host = "", port] = address.split(":");
                    return createConnection({ host, port: Number(port) }).on("error", () => undefined);
                }));
            await sleep(ROUND_MS);
            expect(countDescriptors()).to.be.at.least(open + SPARE_DESCRIPTORS - 1);
            sockets.forEach(socket => socket.destroy());
            await sleep(ROUND_MS);
        }
        await waitFor("it forwards again", async () => await send().catch(() => 0) === 200);
        expect(started.hasEnded()).to.equal(false);
    }).timeout(30_000);
});
