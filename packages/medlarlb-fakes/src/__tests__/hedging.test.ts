import type { AddressInfo, Socket } from "node:net";
import { expect } from "chai";
import { request } from "undici";
import { waitFor } from "../cluster/waitFor.js";
import { listen } from "../shared/listen.js";
import { createMetadataStoreServer } from "../site/createMetadataStoreServer.js";
import { createScriptedEngineServer } from "../site/createScriptedEngineServer.js";
import type { ScriptedRequest } from "../site/scriptedRequest.js";
import { createOperatorConfig } from "./support/createOperatorConfig.js";
import { listenOnFreePort } from "./support/listenOnFreePort.js";
import { startGatewayProcess } from "./support/startGatewayProcess.js";

const ROUTE_HOST = "site.example";
/** Answers before which the gateway sends no second attempts, and some more. */
const WARM_UP_REQUESTS = 160;
const ANSWER_MS = 5;

const isSlow = ({ id }: ScriptedRequest): boolean => id.startsWith("slow");

/** Answers a request with the name of the engine. */
const writeAnswer = ({ id, path }: ScriptedRequest, engine: string): string => {
    const body = path.startsWith("/stream/") ? `id: 1\ndata: ${engine}\n\n` : engine;
    const type = path.startsWith("/stream/") ? "text/event-stream" : "text/plain";
    return [`HTTP/1.1 200 OK`, `X-Request-Id: ${id}`, "X-Response-Stamp: s", `Content-Type: ${type}`, `Content-Length: ${body.length}`, "", body].join("\r\n");
};

describe("A gateway process with second attempts of slow requests", () => {
    const store = createMetadataStoreServer();
    const runs: { id: string; engine: string; socket: Socket }[] = [];
    /** Time until the first engine that gets a slow request answers it; it never does if this is undefined. */
    let slowAnswerMs: number | undefined;
    const engines = ["e1", "e2"].map(engine => createScriptedEngineServer((req, socket) => {
        const isFirstOfSlow = isSlow(req) && !runs.some(each => each.id === req.id);
        runs.push({ id: req.id, engine, socket });
        const answerMs = isFirstOfSlow ? slowAnswerMs : ANSWER_MS;
        if (answerMs !== undefined) {
            setTimeout(() => socket.writable && socket.write(writeAnswer(req, engine)), answerMs);
        }
    }));
    let gateway: Awaited<ReturnType<typeof startGatewayProcess>>;
    let sequence = 0;

    const send = async (kind: string, path: string) => {
        sequence += 1;
        const id = `${kind}-${sequence}`;
        const startedAtMs = performance.now();
        const res = await request(`http://${gateway.caller}${path}`, { method: "POST", headers: { "host": ROUTE_HOST, "x-request-id": id, "x-deadline-ms": "1900" }, body: "x" });
        const text = await res.body.text();
        return { id, status: res.statusCode, text, tookMs: performance.now() - startedAtMs, runs: runs.filter(each => each.id === id) };
    };

    before(async () => {
        await listenOnFreePort(store.server);
        store.put("op/config", JSON.stringify(createOperatorConfig(3)));
        for (const [index, engine] of engines.entries()) {
            const address = `127.0.0.1:${await listen(engine.server, 0)}`;
            store.put(`servers/e${index + 1}`, JSON.stringify({ service: "s", address, zone: "a", slots: 8, state: "ready", models: [], seq: 1 }));
        }
        gateway = await startGatewayProcess(`127.0.0.1:${(store.server.address() as AddressInfo).port}`, { policy: ["extraWorkRatio = 0.2"] });
        await waitFor("the gateway forwards to its targets", async () => (await send("usual", "/safe/x")).status === 200);
        for (let index = 0; index < WARM_UP_REQUESTS; index += 1) {
            await send("usual", index % 2 === 0 ? "/safe/x" : "/stream/again/x");
        }
    });

    after(() => {
        gateway.stop();
        engines.forEach(engine => engine.close());
        store.close();
    });

    for (const path of ["/safe/x", "/stream/again/x"]) {
        it(`answers from another target while the first is silent, and cancels the first at once, on ${path}`, async () => {
            slowAnswerMs = undefined;
            const answer = await send("slow", path);
            expect(answer.status).to.equal(200);
            expect(answer.runs.map(each => each.engine).sort()).to.deep.equal(["e1", "e2"]);
            expect(answer.text).to.include(answer.runs[1]?.engine);
            expect(answer.tookMs).to.be.below(500);
            await waitFor("the connection of the silent target is closed", () => answer.runs[0]?.socket.destroyed === true, 500);
        });

        it(`passes on one whole answer if both targets answer, on ${path}`, async () => {
            slowAnswerMs = 60;
            for (let index = 0; index < 3; index += 1) {
                const answer = await send("slow", path);
                expect(answer.status).to.equal(200);
                expect(answer.text.match(/e[12]/g)).to.have.length(1);
            }
        });
    }

    it("sends a request that may run once to one target only", async () => {
        slowAnswerMs = 400;
        for (const path of ["/unsafe/x", "/stream/x"]) {
            const answer = await send("slow", path);
            expect({ status: answer.status, runs: answer.runs.length }, path).to.deep.equal({ status: 200, runs: 1 });
        }
    });
});
