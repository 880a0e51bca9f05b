import type { AddressInfo, Server, Socket } from "node:net";
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
const DEADLINE_MS = 2_000;
/** Time in ms by which an answer at the deadline may differ from it. */
const DEADLINE_MARGIN_MS = 250;
/** Deadline in ms in which an instance sends a refused request again a few times only. */
const SHORT_DEADLINE_MS = 150;
const PROMISE_STATUSES = [408, 421, 429, 503];

/** Writes a whole answer. Without an id it bears none. */
const writeAnswer = (status: number, ids: readonly string[], headers: readonly string[] = [], body = ""): string =>
    [`HTTP/1.1 ${status} Any`, ...ids.map(id => `X-Request-Id: ${id}`), ...headers, `Content-Length: ${body.length}`, "", body].join("\r\n");

const writeOwnAnswer = (req: ScriptedRequest): string => (req.path.startsWith("/stream/")
    ? writeAnswer(200, [req.id], ["X-Response-Stamp: s", "Content-Type: text/event-stream"], "id: 1\ndata: whole\n\n")
    : writeAnswer(200, [req.id], ["X-Response-Stamp: s"], "whole"));

/** A refusal, which also names a limit. */
const writeRefusal = (status: number, ids: readonly string[]): string => writeAnswer(status, ids, ["X-Not-Run: 1", "Server-Limit: 1"]);

const previousId = (req: ScriptedRequest): string => req.previousIds.at(-1) ?? "";

/** Answers that an engine sends before that to the request, from the second request of a connection on. */
const foreignAnswers: Record<string, (req: ScriptedRequest) => string> = {
    "a refusal of the request before": req => writeRefusal(503, [previousId(req)]),
    "a refusal with 429 of the request before": req => writeRefusal(429, [previousId(req)]),
    "a refusal with 421 of the request before": req => writeRefusal(421, [previousId(req)]),
    "a refusal that names no request": () => writeRefusal(503, []),
    "a refusal with 421 that names no request": () => writeRefusal(421, []),
    "a refusal that names two requests": req => writeRefusal(503, [previousId(req), req.id]),
    "another answer to the request before": req => writeAnswer(200, [previousId(req)], ["X-Response-Stamp: s"], "other"),
    "an answer that names no request": () => writeAnswer(200, [], ["X-Response-Stamp: s"], "other"),
    "two answers to requests before": req => writeAnswer(500, [previousId(req)], [], "other") + writeRefusal(503, [previousId(req)]),
};

describe("A gateway process whose targets send answers that belong to other requests", () => {
    const store = createMetadataStoreServer();
    const engineIds = ["e1", "e2"];
    const runs: string[] = [];
    /** What an engine sends for a request that it runs. */
    let script: (req: ScriptedRequest, socket: Socket) => void;
    const engines = engineIds.map(() => createScriptedEngineServer((req, socket) => {
        if (req.path === "/api/report") {
            socket.write(writeAnswer(200, [], [], JSON.stringify({ models: [], in_flight: false, seq: 0 })));
            return;
        }
        script(req, socket);
    }));
    const namelessEngine = createScriptedEngineServer((_req, socket) => {
        socket.write(writeAnswer(200, [], ["X-Response-Stamp: s"], "whole"));
    });
    let gateway: Awaited<ReturnType<typeof startGatewayProcess>>;
    let sequence = 0;

    const runWith = (answer: (req: ScriptedRequest) => string): typeof script => (req, socket) => {
        runs.push(req.id);
        socket.write(answer(req));
    };

    const sendRequest = async (path: string, ownId?: string, deadlineMs = DEADLINE_MS) => {
        sequence += 1;
        const id = ownId ?? `r${sequence}`;
        const headers = { "host": ROUTE_HOST, "x-request-id": id, "x-deadline-ms": String(deadlineMs) };
        const res = await request(`http://${gateway.caller}${path}`, { method: "POST", headers, body: "x" });
        return { id, status: res.statusCode, text: await res.body.text().catch(() => "cut") };
    };

    /** Sends requests one after the other on kept connections. */
    const sendSeries = async (path: string, answer: (req: ScriptedRequest) => string) => {
        script = runWith(writeOwnAnswer);
        await Promise.all(Array.from({ length: 8 }, () => sendRequest(path)));
        runs.length = 0;
        script = runWith(answer);
        const answers: Awaited<ReturnType<typeof sendRequest>>[] = [];
        for (let index = 0; index < 8; index += 1) {
            answers.push(await sendRequest(path));
        }
        return {
            statuses: [...new Set(answers.map(each => each.status))],
            falseRefusals: answers.filter(each => PROMISE_STATUSES.includes(each.status) && runs.includes(each.id)).length,
            repeatedRuns: answers.filter(each => runs.filter(id => id === each.id).length > 1).length,
            otherBodies: answers.filter(each => each.text.includes("other")).length,
        };
    };

    before(async () => {
        await listenOnFreePort(store.server);
        store.put("op/config", JSON.stringify(createOperatorConfig(3)));
        const register = async (id: string, service: string, server: Server): Promise<void> => {
            const address = `127.0.0.1:${await listen(server, 0)}`;
            store.put(`servers/${id}`, JSON.stringify({ service, address, zone: "a", slots: 8, state: "ready", models: [], seq: 1 }));
        };
        await Promise.all(engines.map((engine, index) => register(engineIds[index] ?? "", "s", engine.server)));
        await register("e3", "other", namelessEngine.server);
        gateway = await startGatewayProcess(`127.0.0.1:${(store.server.address() as AddressInfo).port}`);
        script = runWith(writeOwnAnswer);
        await waitFor("the gateway forwards to its targets", async () => (await sendRequest("/unsafe/x")).status === 200);
    });

    // An instance that has just started may not send all refused requests again.
    beforeEach(() => waitFor("the gateway has its part of the retry budget", () =>
        Number(gateway.log.filter(line => line.event === "retryShare").at(-1)?.tokens) > 0));

    after(() => {
        gateway.stop();
        [...engines, namelessEngine].forEach(engine => engine.close());
        store.close();
    });

    it("passes on the answer of each request, and believes no refusal that doesn't name it, when other answers precede it", async () => {
        for (const [kind, writeForeign] of Object.entries(foreignAnswers)) {
            for (const path of ["/unsafe/x", "/stream/x"]) {
                const outcome = await sendSeries(path, req => (req.previousIds.length === 0 ? "" : writeForeign(req)) + writeOwnAnswer(req));
                expect(outcome, `${kind} on ${path}`).to.deep.equal({ statuses: [200], falseRefusals: 0, repeatedRuns: 0, otherBodies: 0 });
            }
        }
    }).timeout(240_000);

    it("believes no second refusal of a request that it sends to the same target again", async () => {
        const refused = new Set<string>();
        script = (req, socket) => {
            if (!refused.has(req.id)) {
                refused.add(req.id);
                socket.write(writeAnswer(503, [req.id], ["X-Not-Run: 1"]));
                return;
            }
            runs.push(req.id);
            socket.write((req.previousIds.includes(req.id) ? writeAnswer(503, [req.id], ["X-Not-Run: 1"]) : "") + writeOwnAnswer(req));
        };
        runs.length = 0;
        const answers = [];
        for (let index = 0; index < 8; index += 1) {
            answers.push(await sendRequest("/unsafe/x"));
        }
        expect(answers.map(each => each.status)).to.deep.equal(Array.from(answers, () => 200));
        expect(runs).to.deep.equal(answers.map(each => each.id));
    }).timeout(30_000);

    // REFUSED: the copy was believed if it came on another kept connection than the refusal.
    for (const sender of ["this instance", "its caller"]) {
        it(`believes no copy of a refusal, on any kept connection, when ${sender} sends the request again`, async () => {
            script = runWith(writeOwnAnswer);
            await Promise.all(Array.from({ length: 8 }, () => sendRequest("/unsafe/x")));
            runs.length = 0;
            const refused = new Set<string>();
            const refusal = (req: ScriptedRequest): string => writeAnswer(503, [req.id], ["X-Not-Run: 1"]);
            let isCallerWaiting = sender === "its caller";
            script = (req, socket) => {
                // Only a target that has refused a request before can send a copy of that refusal.
                const key = `${req.expectedTarget} ${req.id}`;
                if (isCallerWaiting || !refused.has(key)) {
                    refused.add(key);
                    socket.write(refusal(req));
                    return;
                }
                runs.push(req.id);
                socket.write((req.previousIds.length > 0 ? refusal(req) : "") + writeOwnAnswer(req));
            };
            const ids = Array.from({ length: 4 }, (_, index) => `again-${sender}-${index}`);
            const sendAll = (deadlineMs: number) => Promise.all(ids.map(id => sendRequest("/unsafe/x", id, deadlineMs)));
            if (isCallerWaiting) {
                expect((await sendAll(SHORT_DEADLINE_MS)).map(each => each.status)).to.deep.equal(ids.map(() => 503));
                isCallerWaiting = false;
            }
            expect((await sendAll(DEADLINE_MS)).map(each => each.status)).to.deep.equal(ids.map(() => 200));
            expect([...runs].sort()).to.deep.equal(ids);
        }).timeout(30_000);
    }

    it("passes on no status that says that a request hasn't run if its target doesn't say so", async () => {
        for (const status of PROMISE_STATUSES.filter(each => each !== 421)) {
            for (const headers of [["X-Response-Stamp: s"], []]) {
                for (const path of ["/unsafe/x", "/stream/x"]) {
                    const outcome = await sendSeries(path, req => writeAnswer(status, [req.id], headers, "x"));
                    expect(outcome, `${status} on ${path}`).to.deep.equal({ statuses: [502], falseRefusals: 0, repeatedRuns: 0, otherBodies: 0 });
                }
            }
        }
    }).timeout(60_000);

    it("doesn't believe a refusal that names no request, on a new connection neither", async () => {
        const onNewConnection = new Set<string>();
        // A connection that the test before has left carries its own answer and closes, so that the next one is new.
        script = (req, socket) => {
            runs.push(req.id);
            if (req.previousIds.length > 0) {
                socket.write(writeAnswer(200, [req.id], ["X-Response-Stamp: s", "Connection: close"], "whole"));
                return;
            }
            onNewConnection.add(req.id);
            socket.write(writeAnswer(503, [], ["X-Not-Run: 1"]));
        };
        runs.length = 0;
        const answers: Awaited<ReturnType<typeof sendRequest>>[] = [];
        while (onNewConnection.size < 4) {
            answers.push(await sendRequest("/unsafe/x"));
        }
        expect(answers.map(each => each.status)).to.deep.equal(answers.map(each => (onNewConnection.has(each.id) ? 502 : 200)));
        expect(runs).to.deep.equal(answers.map(each => each.id));
    }).timeout(20_000);

    it("believes no \"not run\" beside a status with which targets don't refuse", async () => {
        for (const status of [200, 302, 404, 500, 504]) {
            const outcome = await sendSeries("/unsafe/x", req => writeAnswer(status, [req.id], ["X-Not-Run: 1", "X-Response-Stamp: s"], "x"));
            expect(outcome, String(status)).to.deep.equal({ statuses: [502], falseRefusals: 0, repeatedRuns: 0, otherBodies: 0 });
        }
    }).timeout(60_000);

    it("sends a request to another target after a refusal that names it", async () => {
        const refusing = new Set(["e1"]);
        script = (req, socket) => {
            if (refusing.has(req.expectedTarget ?? "")) {
                socket.write(writeAnswer(503, [req.id], ["X-Not-Run: 1"]));
                return;
            }
            runs.push(req.id);
            socket.write(writeOwnAnswer(req));
        };
        runs.length = 0;
        const answers = await Promise.all(Array.from({ length: 8 }, () => sendRequest("/unsafe/x")));
        expect(answers.map(each => each.status)).to.deep.equal(Array.from(answers, () => 200));
        expect([...runs].sort()).to.deep.equal(answers.map(each => each.id).sort());
    });

    it("passes on the answers of a target that names no request in any of them", async () => {
        await waitFor("the target is known", async () => (await sendRequest("/other/x")).status === 200);
        for (let index = 0; index < 8; index += 1) {
            expect(await sendRequest("/other/x")).to.deep.include({ status: 200, text: "whole" });
        }
    }).timeout(20_000);

    it("logs whose answers they were, and what their connection had carried", async () => {
        /** Returns the lines of an event about requests that are sent from now on. */
        const readLines = async (event: string, answer: (req: ScriptedRequest) => string) => {
            const lastId = sequence;
            await sendSeries("/unsafe/x", answer);
            const list = () => gateway.log.filter(each => each.event === event && Number(String(each.request).slice(1)) > lastId);
            await waitFor(`the log has ${event} lines`, () => list().length > 0);
            return list() as { request: string; evidence: Record<string, unknown> }[];
        };
        const withRefusal = (req: ScriptedRequest): string => (req.previousIds.length === 0 ? "" : writeRefusal(503, [previousId(req)]));
        for (const { request: id, evidence } of await readLines("foreignAnswer", req => withRefusal(req) + writeOwnAnswer(req))) {
            expect(evidence).to.include({ status: 503 }).and.to.have.all.keys("status", "answerId", "connectionAgeMs", "carriedRequests");
            expect(evidence.answerId).to.be.a("string").and.not.to.equal(id);
            expect(evidence.carriedRequests).to.be.above(0);
        }
        const retries = await readLines("retried", req => writeAnswer(503, [req.id], ["X-Not-Run: 1"]));
        expect(retries.every(each => each.evidence.answerId === each.request)).to.equal(true);
    }).timeout(20_000);

    // On a kept connection, such a refusal may be a late answer to an earlier request, and the own answer may still follow.
    it("waits for the own answer until the deadline after a refusal on a kept connection that names no request", async () => {
        script = runWith(writeOwnAnswer);
        await Promise.all(Array.from({ length: 8 }, () => sendRequest("/unsafe/x")));
        const onKeptConnection = new Set<string>();
        script = (req, socket) => {
            runs.push(req.id);
            if (req.previousIds.length === 0) {
                socket.write(writeOwnAnswer(req));
                return;
            }
            onKeptConnection.add(req.id);
            socket.write(writeAnswer(503, [], ["X-Not-Run: 1"]));
        };
        runs.length = 0;
        const answers: (Awaited<ReturnType<typeof sendRequest>> & { tookMs: number })[] = [];
        while (onKeptConnection.size < 2) {
            const sentAtMs = performance.now();
            answers.push({ ...await sendRequest("/unsafe/x"), tookMs: performance.now() - sentAtMs });
        }
        expect(answers.map(each => each.status)).to.deep.equal(answers.map(each => (onKeptConnection.has(each.id) ? 504 : 200)));
        for (const { tookMs } of answers.filter(each => onKeptConnection.has(each.id))) {
            expect(tookMs).to.be.within(DEADLINE_MS - DEADLINE_MARGIN_MS, DEADLINE_MS + DEADLINE_MARGIN_MS);
        }
        expect(runs).to.deep.equal(answers.map(each => each.id));
    }).timeout(20_000);
});
