import { createConnection, createServer } from "node:net";
import type { AddressInfo, Socket } from "node:net";
import { expect } from "chai";
import { request } from "undici";
import { waitFor } from "../cluster/waitFor.js";
import { listen } from "../shared/listen.js";
import { createEndlessEngineServer } from "../site/createEndlessEngineServer.js";
import { createMetadataStoreServer } from "../site/createMetadataStoreServer.js";
import type { EndlessAnswer } from "../site/endlessAnswer.js";
import type { ScriptedRequest } from "../site/scriptedRequest.js";
import { listenOnFreePort } from "./support/listenOnFreePort.js";
import { startGatewayProcess } from "./support/startGatewayProcess.js";

const ROUTE_HOST = "site.example";
/** Largest number of bytes that an engine or the store can write to a connection, with what the systems on both sides buffer. */
const MAX_ENGINE_BYTES = 8_388_608;
const MAX_STORE_BYTES = 20_971_520;
const WRITE_BYTES = 65_536;

const writeAnswer = (status: number, body: string, headers: readonly string[] = []): string =>
    [`HTTP/1.1 ${status} Any`, ...headers, `Content-Length: ${body.length}`, "", body].join("\r\n");

const endlessBody = (status: number): EndlessAnswer => ({ start: `HTTP/1.1 ${status} Any\r\nTransfer-Encoding: chunked\r\n\r\n`, part: `400\r\n${"{".repeat(1_024)}\r\n` });

/** Creates a server in front of the store that passes on all bytes, or answers everything with a body that never ends. */
const createStoreProxy = (storePort: number) => {
    const sockets = new Set<Socket>();
    let isEndless = false;
    let mostBytes = 0;

    const writeWithoutEnd = (socket: Socket): void => {
        socket.write("HTTP/1.1 200 OK\r\n\r\n");
        const write = (): void => {
            while (!socket.destroyed && socket.write(Buffer.alloc(WRITE_BYTES, "["))) {
                // The system takes more.
            }
        };
        socket.on("drain", write);
        write();
    };

    const server = createServer(socket => {
        sockets.add(socket);
        socket.on("error", () => socket.destroy());
        socket.once("close", () => {
            mostBytes = Math.max(mostBytes, isEndless ? socket.bytesWritten : 0);
            sockets.delete(socket);
        });
        if (isEndless) {
            socket.once("data", () => writeWithoutEnd(socket));
            return;
        }
        const upstream = createConnection({ host: "127.0.0.1", port: storePort });
        upstream.on("error", () => socket.destroy());
        socket.once("close", () => upstream.destroy());
        socket.pipe(upstream).pipe(socket);
    });
    return {
        server,
        setEndless: (value: boolean): void => {
            sockets.forEach(socket => socket.destroy());
            isEndless = value;
        },
        mostBytes: (): number => mostBytes,
        close: (): void => {
            server.close();
            sockets.forEach(socket => socket.destroy());
        },
    };
};

describe("A gateway process whose control calls get responses without end", () => {
    const store = createMetadataStoreServer();
    let proxy: ReturnType<typeof createStoreProxy>;
    let gateway: Awaited<ReturnType<typeof startGatewayProcess>>;
    let endlessPath = "/api/report";
    let sequence = 0;
    const engine = createEndlessEngineServer((req: ScriptedRequest) => {
        if (req.path === endlessPath) {
            return endlessBody(req.path === "/api/order" ? 202 : 200);
        }
        if (req.path === "/api/report") {
            return writeAnswer(200, JSON.stringify({ models: [], in_flight: false, seq: 0 }));
        }
        return writeAnswer(200, "whole", [`X-Request-Id: ${req.id}`, "X-Response-Stamp: s"]);
    });

    const send = async (headers: Record<string, string> = {}): Promise<number> => {
        sequence += 1;
        const res = await request(`http://${gateway.caller}/x/`, {
            method: "POST",
            headers: { "host": ROUTE_HOST, "x-request-id": `r${sequence}`, "x-deadline-ms": "1000", ...headers },
            body: "x",
        });
        await res.body.dump();
        return res.statusCode;
    };

    const findLines = (event: string, fields: Record<string, unknown>): Record<string, unknown>[] =>
        gateway.log.filter(line => line.event === event && Object.entries(fields).every(([name, value]) => line[name] === value));

    before(async () => {
        await listenOnFreePort(store.server);
        const models = [{ name: "m", weights_mb: 10, load_time_s: 0.1 }];
        store.put("op/config", JSON.stringify({
            version: 3,
            routes: [{ name: "x", host: ROUTE_HOST, prefix: "/x/", kind: "unsafe", timeout_ms: 2_000, service: "llm", max_attempts: 1 }],
            services: [{ name: "llm", engine: { slots: 8, kv_capacity: 100_000, models, weights_mb: 100, adapter_slots: 1, loads_per_s: 10 } }],
            limits: { max_header_bytes: 4_096, max_body_bytes: 10_000, header_timeout_ms: 3_000, idle_timeout_ms: 15_000 },
        }));
        const address = `127.0.0.1:${await listen(engine.server, 0)}`;
        store.put("servers/e1", JSON.stringify({ service: "llm", address, zone: "a", slots: 8, state: "ready", models: [], seq: 1 }));
        proxy = createStoreProxy((store.server.address() as AddressInfo).port);
        gateway = await startGatewayProcess(`127.0.0.1:${await listen(proxy.server, 0)}`);
        await waitFor("the gateway forwards to its target", async () => await send() === 200);
    });

    after(() => {
        gateway.stop();
        engine.close();
        proxy.close();
        store.close();
    });

    it("ends a request for a report at a bound, says so in one line of the log, and asks again", async () => {
        const reason = "the body of the response is longer than 262144 bytes";
        await waitFor("reports fail", () => findLines("reportFailed", { target: "e1", reason }).length >= 2);
        expect(findLines("reportFailed", {}).map(line => line.reason)).to.deep.equal(findLines("reportFailed", { reason }).map(() => reason));
        expect(engine.mostBytes()).to.be.within(1, MAX_ENGINE_BYTES);
        expect(await send()).to.equal(200);
    }).timeout(30_000);

    it("asks an engine whose reports keep failing once in a while only", async () => {
        const countFailures = (): number => findLines("reportFailed", { target: "e1" }).length;
        await waitFor("several reports have failed", () => countFailures() >= 5);
        const before = countFailures();
        await new Promise(resolve => setTimeout(resolve, 4_000));
        expect(countFailures() - before).to.be.within(1, 8);
    }).timeout(30_000);

    it("ends an order at a bound and takes it for one whose outcome isn't known", async () => {
        const reason = "the body of the response is longer than 65536 bytes";
        endlessPath = "/api/order";
        await waitFor("an order fails", async () => {
            await send({ "x-model": "m" });
            return findLines("orderAnswered", { target: "e1", answer: "unknown", reason }).length > 0;
        });
        expect(findLines("orderAnswered", { reason }).every(line => Number(line.tookMs) < 500)).to.equal(true);
        expect(engine.mostBytes()).to.be.within(1, MAX_ENGINE_BYTES);
        endlessPath = "";
        await waitFor("an order is accepted or refused", async () => {
            await send({ "x-model": "m" });
            return findLines("orderAnswered", { target: "e1" }).some(line => line.answer !== "unknown");
        });
    }).timeout(60_000);

    it("ends calls to the store at a bound, serves callers meanwhile, and reads the store again when it answers", async () => {
        proxy.setEndless(true);
        await waitFor("the store counts as unreachable", () => findLines("storeContact", { reachable: false }).length > 0);
        for (let index = 0; index < 20; index += 1) {
            expect(await send()).to.equal(200);
        }
        expect(findLines("storeContact", { reachable: false }).map(line => line.reason))
            .to.deep.equal(["watch: the body of the response is longer than 8388608 bytes"]);
        proxy.setEndless(false);
        await waitFor("the store is read again", () => findLines("storeContact", { reachable: true }).length > 0);
        expect(proxy.mostBytes()).to.be.within(1, MAX_STORE_BYTES);
    }).timeout(30_000);
});
