import { createConnection } from "node:net";
import type { AddressInfo } from "node:net";
import { expect } from "chai";
import { request } from "undici";
import { waitFor } from "../cluster/waitFor.js";
import { listen } from "../shared/listen.js";
import { createEndlessEngineServer } from "../site/createEndlessEngineServer.js";
import { createMetadataStoreServer } from "../site/createMetadataStoreServer.js";
import { createScriptedEngineServer } from "../site/createScriptedEngineServer.js";
import type { EndlessAnswer } from "../site/endlessAnswer.js";
import type { ScriptedRequest } from "../site/scriptedRequest.js";
import { listenOnFreePort } from "./support/listenOnFreePort.js";
import { startGatewayProcess } from "./support/startGatewayProcess.js";

interface EndlessKind {
    answer: (req: ScriptedRequest) => EndlessAnswer;
    /** Whether the target states that it hasn't run the request, which then goes to another one whatever its route. */
    refuses?: boolean;
    /** Id of the last event that the caller has of a stream, which it takes up; undefined if it begins a stream. */
    lastEventId?: string;
    /** Route kinds on which this is no answer; all if it isn't given. */
    routes?: readonly string[];
}

const ROUTE_HOST = "site.example";
const DEADLINE_MS = 4_000;
/** Longest time in ms to a final answer. */
const MAX_ANSWER_MS = 1_000;
/** Largest number of bytes that an engine can write to a connection, with what the systems on both sides buffer. */
const MAX_BYTES = 8_388_608;
/** Time in ms that the other target of a service takes, which has one slot, so that some of several requests don't go there. */
const HONEST_ANSWER_MS = 40;
const ROUTE_KINDS = ["safe", "unsafe", "stream", "resumable"];

const head = (status: number, headers: readonly string[]): string => [`HTTP/1.1 ${status} Any`, ...headers, "", ""].join("\r\n");
const ownHead = (req: ScriptedRequest, headers: readonly string[]): string =>
    head(200, [`X-Request-Id: ${req.id}`, "X-Response-Stamp: s", ...headers]);
const refusalHead = (status: number, req: ScriptedRequest, headers: readonly string[]): string =>
    head(status, [`X-Request-Id: ${req.id}`, "X-Not-Run: 1", ...headers]);

/** Returns an answer's body: of a stream the event after the first one, or after those that the caller has. */
const ownBody = (path: string): string => {
    const eventId = path.startsWith("/late/") ? 2 : 9;
    return /\/(?:stream|resumable)\//.test(path) ? `id: ${eventId}\ndata: whole\n\n` : "whole";
};

const writeOwnAnswer = (req: ScriptedRequest): string => {
    const body = ownBody(req.path);
    return ownHead(req, ["Content-Type: text/event-stream", `Content-Length: ${body.length}`]) + body;
};

const FIRST_EVENT = "id: 1\ndata: one\n\n";
const chunked = "Transfer-Encoding: chunked";
const endlessKinds: Record<string, EndlessKind> = {
    "header lines": { answer: () => ({ start: "HTTP/1.1 200 OK\r\n", part: "X-A: 1\r\n" }) },
    "a header line": { answer: () => ({ start: "HTTP/1.1 200 OK\r\nX-A: ", part: "a" }) },
    "interim responses": { answer: () => ({ start: "", part: "HTTP/1.1 100 Continue\r\n\r\n" }) },
    "long interim responses": { answer: () => ({ start: "", part: `HTTP/1.1 103 Hints\r\nX-A: ${"a".repeat(500)}\r\n\r\n` }) },
    "empty lines before the status line": { answer: () => ({ start: "", part: "\r\n" }) },
    "white space before the status line": { answer: () => ({ start: "", part: " " }) },
    "bytes that are no response": { answer: () => ({ start: "", part: "?" }) },
    "bytes that are no response, after a pause,": { answer: () => ({ start: "?", part: "?", pauseMs: 3_000 }) },
    "lines after the last chunk": {
        answer: req => ({ start: `${ownHead(req, [chunked])}13\r\nid: 1\ndata: whole\n\n\r\n0\r\n`, part: "X-A: 1\r\n" }),
        routes: ["safe", "unsafe"],
    },
    "chunk extensions": { answer: req => ({ start: ownHead(req, [chunked]), part: `1;a=${"a".repeat(900)}\r\nb\r\n` }) },
    "an event": { answer: req => ({ start: ownHead(req, [chunked]), part: `400\r\n${"a".repeat(1_024)}\r\n` }), routes: ["stream", "resumable"] },
    "events that the caller has received": {
        answer: req => ({ start: ownHead(req, []), part: "id: 3\ndata: again\n\n" }),
        routes: ["resumable"],
        lastEventId: "5",
    },
    "an unsigned body": { answer: req => ({ start: head(200, [`X-Request-Id: ${req.id}`]), part: "a" }) },
    "an unsigned failure": { answer: req => ({ start: head(500, [`X-Request-Id: ${req.id}`]), part: "a" }) },
    "an encoded body": { answer: req => ({ start: ownHead(req, ["Content-Encoding: gzip"]), part: "a" }) },
    "the body of a refusal": { answer: req => ({ start: refusalHead(503, req, []), part: "a" }), refuses: true },
    "the chunked body of a refusal": { answer: req => ({ start: refusalHead(429, req, [chunked]), part: "1\r\na\r\n" }), refuses: true },
    "the body of a refusal with a length": {
        answer: req => ({ start: refusalHead(503, req, ["Content-Length: 99999999999"]), part: "a" }),
        refuses: true,
    },
    "the body of a refusal with 421": { answer: req => ({ start: refusalHead(421, req, []), part: "a" }), refuses: true },
    "answers to other requests": { answer: () => ({ start: "", part: `${head(503, ["X-Request-Id: other", "X-Not-Run: 1", "Content-Length: 1"])}x` }) },
};

/** Answers that a caller gets, and what never ends is beside or after them. Only resumable services have another target. */
const wholeAnswers: Record<string, (req: ScriptedRequest) => EndlessAnswer> = {
    "after/safe": req => ({ start: writeOwnAnswer(req), part: "?" }),
    "idle/safe": req => ({ start: writeOwnAnswer(req), part: writeOwnAnswer(req), pauseMs: 200 }),
    "head/safe": req => ({ start: ownHead(req, ["Content-Length: 5"]), part: "a" }),
    "events/stream": req => ({ start: ownHead(req, [chunked]), part: "400\r\ndata: ".padEnd(1_027, "a").concat("\n\n\r\n") }),
    "late/stream": req => ({ start: ownHead(req, []) + FIRST_EVENT, part: "a" }),
    "late/resumable": req => ({ start: ownHead(req, []) + FIRST_EVENT, part: "a" }),
    "comments/stream": req => ({ start: ownHead(req, []), part: ": comment\n\n" }),
    "lines/stream": req => ({ start: ownHead(req, []), part: "\n" }),
};

describe("A gateway process whose targets send bytes without end", () => {
    const store = createMetadataStoreServer();
    const honest = createScriptedEngineServer((req, socket) => void setTimeout(() => socket.write(writeOwnAnswer(req)), HONEST_ANSWER_MS));
    const engines = new Map<string, ReturnType<typeof createEndlessEngineServer>>();
    let gateway: Awaited<ReturnType<typeof startGatewayProcess>>;
    let sequence = 0;

    const send = async (path: string, headers: Record<string, string> = {}, method: "POST" | "HEAD" = "POST") => {
        sequence += 1;
        const id = `r${sequence}`;
        const startedAtMs = performance.now();
        const res = await request(`http://${gateway.caller}${path}`, {
            method,
            headers: { "host": ROUTE_HOST, "x-request-id": id, "x-deadline-ms": String(DEADLINE_MS), ...headers },
            ...(method === "HEAD" ? {} : { body: "x" }),
        });
        const text = await res.body.text().catch(() => "cut");
        return { id, status: res.statusCode, text, tookMs: performance.now() - startedAtMs };
    };

    const servicesOf = (name: string): string[] => ROUTE_KINDS.map(kind => `${Object.keys(endlessKinds).indexOf(name)}/${kind}`);
    const services = [...Object.keys(endlessKinds).flatMap(servicesOf), ...Object.keys(wholeAnswers)];

    const createConfig = () => ({
        version: 3,
        routes: services.map(service => ({
            name: service,
            host: ROUTE_HOST,
            prefix: `/${service}/`,
            kind: service.endsWith("safe") ? service.split("/")[1] : "streaming",
            timeout_ms: DEADLINE_MS,
            service,
            max_attempts: 2,
            resumable: service.endsWith("resumable"),
        })),
        services: services.map(name => ({ name, health_path: "/health", max_conns: 50 })),
        limits: { max_header_bytes: 4_096, max_body_bytes: 10_000, header_timeout_ms: 3_000, idle_timeout_ms: 15_000 },
    });

    const register = (id: string, service: string, port: number, slots: number): void => store.put(`servers/${id}`, JSON.stringify({
        service,
        address: `127.0.0.1:${port}`,
        zone: "a",
        version: "v1",
        slots,
        state: "ready",
        models: [],
        seq: 1,
    }));

    before(async () => {
        await listenOnFreePort(store.server);
        store.put("op/config", JSON.stringify(createConfig()));
        const honestPort = await listen(honest.server, 0);
        for (const [name, { answer }] of Object.entries(endlessKinds)) {
            for (const service of servicesOf(name)) {
                const engine = createEndlessEngineServer(answer);
                engines.set(service, engine);
                register(`bad-${service.replace("/", "-")}`, service, await listen(engine.server, 0), 8);
                register(`good-${service.replace("/", "-")}`, service, honestPort, 1);
            }
        }
        for (const [service, answer] of Object.entries(wholeAnswers)) {
            const engine = createEndlessEngineServer(answer);
            engines.set(service, engine);
            register(`bad-${service.replace("/", "-")}`, service, await listen(engine.server, 0), 8);
            if (service.endsWith("/resumable")) {
                register(`good-${service.replace("/", "-")}`, service, honestPort, 1);
            }
        }
        gateway = await startGatewayProcess(`127.0.0.1:${(store.server.address() as AddressInfo).port}`);
        await waitFor("all targets are known", () => gateway.log.filter(line => line.event === "targetFound").length === store.count("servers/"));
        // An instance that has just started makes few retries.
        await waitFor("the gateway has its part of the retry budget", () =>
            gateway.log.some(line => line.event === "retryShare" && Number(line.tokens) > 0));
    });

    after(() => {
        gateway.stop();
        honest.close();
        engines.forEach(engine => engine.close());
        store.close();
    });

    /** Sends requests, several at once, until the target that never ends has got some, and returns the answers to these. */
    const sendUntilEndless = async (service: string, headers: Record<string, string>): Promise<Awaited<ReturnType<typeof send>>[]> => {
        for (let round = 0; round < 10; round += 1) {
            const answers = await Promise.all(Array.from({ length: 4 }, () => send(`/${service}/x`, headers)));
            const affected = answers.filter(each => engines.get(service)?.requestIds.includes(each.id) === true);
            if (affected.length > 0) {
                return affected;
            }
        }
        throw new Error("no request went to the target that never ends");
    };

    /** Begins a stream through the gateway, and returns the headers with which a caller takes it up after an event. */
    const beginStream = async (service: string, lastEventId: string): Promise<Record<string, string>> => {
        sequence += 1;
        const id = `r${sequence}`;
        const left = new AbortController();
        const headers = { "host": ROUTE_HOST, "x-request-id": id, "x-deadline-ms": String(DEADLINE_MS) };
        const res = await request(`http://${gateway.caller}/${service}/x`, { method: "POST", headers, body: "x", signal: left.signal });
        expect(res.statusCode).to.equal(200);
        left.abort();
        await res.body.dump().catch(() => undefined);
        return { "resumes": id, "last-event-id": lastEventId };
    };

    const logOf = (id: string): string[] =>
        gateway.log.filter(line => line.request === id && ["retried", "answered"].includes(String(line.event))).map(line => String(line.event));

    for (const [name, { refuses = false, routes = ROUTE_KINDS, lastEventId }] of Object.entries(endlessKinds)) {
        it(`ends or repeats a request at once, as its kind allows, after ${name} without end`, async () => {
            for (const service of servicesOf(name).filter(each => routes.some(route => each.endsWith(`/${route}`)))) {
                const mayRepeat = refuses || service.endsWith("/safe") || service.endsWith("resumable");
                // A stream whose beginning nobody knows waits for the store's list first, which isn't what this test measures.
                const headers = lastEventId === undefined ? {} : await beginStream(service, lastEventId);
                for (const { id, status, text, tookMs } of await sendUntilEndless(service, headers)) {
                    expect({ status, text: status === 200 ? text : "" }, service).to.deep.equal({
                        status: mayRepeat ? 200 : 502,
                        text: mayRepeat ? ownBody(`/${service}/x`) : "",
                    });
                    expect(tookMs, service).to.be.below(MAX_ANSWER_MS);
                    const attempts = engines.get(service)?.requestIds.filter(each => each === id) ?? [];
                    await waitFor("the log names each attempt", () => logOf(id).length >= attempts.length);
                    expect(logOf(id), service).to.deep.equal(attempts.map(() => (mayRepeat ? "retried" : "answered")));
                }
                const engine = engines.get(service);
                await waitFor("the connections are closed", () => engine?.openCount() === 0, MAX_ANSWER_MS);
                expect(engine?.mostBytes(), service).to.be.below(MAX_BYTES);
            }
        }).timeout(60_000);
    }

    it("sends a target that never ends its answers fewer requests than the other one", async () => {
        const service = servicesOf("header lines")[0] ?? "";
        const ids: string[] = [];
        for (let round = 0; round < 10; round += 1) {
            const answers = await Promise.all(Array.from({ length: 4 }, () => send(`/${service}/x`)));
            ids.push(...answers.map(each => each.id));
            expect(answers.map(each => each.status)).to.deep.equal([200, 200, 200, 200]);
        }
        const toEndless = engines.get(service)?.requestIds.filter(id => ids.includes(id)) ?? [];
        expect(toEndless.length).to.be.below(ids.length / 4);
    }).timeout(60_000);

    /** Waits until a target's connections are closed, and checks what they have taken. */
    const checkClosed = async (service: string, withinMs: number): Promise<void> => {
        const engine = engines.get(service);
        await waitFor("the connections are closed", () => engine?.openCount() === 0, withinMs);
        expect(engine?.mostBytes(), service).to.be.within(1, MAX_BYTES);
    };

    it("passes on an answer and closes its connection when bytes without end follow, at once, while it is idle, or after HEAD", async () => {
        for (const service of ["after/safe", "idle/safe", "head/safe"]) {
            const isHead = service === "head/safe";
            const { status, text } = await send(`/${service}/x`, {}, isHead ? "HEAD" : "POST");
            expect({ status, text }, service).to.deep.equal({ status: 200, text: isHead ? "" : "whole" });
            await checkClosed(service, MAX_ANSWER_MS);
        }
    });

    for (const service of ["events/stream", "comments/stream", "lines/stream"]) {
        it(`relays a signed stream without end until the deadline or until its caller leaves (${service})`, async () => {
            const { status, text, tookMs } = await send(`/${service}/x`, { "x-deadline-ms": "1000" });
            expect({ status, text }).to.deep.equal({ status: 200, text: "cut" });
            expect(tookMs).to.be.within(900, 1_500);
            await waitFor("the connection is closed", () => engines.get(service)?.openCount() === 0, MAX_ANSWER_MS);
            const abandoned = new AbortController();
            const res = await request(`http://${gateway.caller}/${service}/x`, {
                method: "POST",
                headers: { "host": ROUTE_HOST, "x-request-id": `left-${service}`, "x-deadline-ms": String(DEADLINE_MS) },
                body: "x",
                signal: abandoned.signal,
            });
            expect(res.statusCode).to.equal(200);
            abandoned.abort();
            await res.body.dump().catch(() => undefined);
            await waitFor("the connection is closed", () => engines.get(service)?.openCount() === 0, MAX_ANSWER_MS);
        });
    }

    it("breaks off a stream when one of its events never ends, and continues a resumable one on another target", async () => {
        const { status, text, tookMs } = await send("/late/stream/x");
        expect({ status, text }).to.deep.equal({ status: 200, text: "cut" });
        expect(tookMs).to.be.below(MAX_ANSWER_MS);
        for (const answer of await sendUntilEndless("late/resumable", {})) {
            expect(answer).to.deep.include({ status: 200, text: FIRST_EVENT + ownBody("/late/resumable/x") });
            expect(answer.tookMs).to.be.below(MAX_ANSWER_MS);
            await waitFor("the log names the attempt", () => logOf(answer.id).length > 0);
            expect(logOf(answer.id)).to.deep.equal(["retried"]);
        }
        await checkClosed("late/stream", MAX_ANSWER_MS);
        await checkClosed("late/resumable", MAX_ANSWER_MS);
    });

    it("reads no more of a signed stream without end than a caller takes who doesn't read", async () => {
        const service = "events/stream";
        const taken = await new Promise<number>((resolve, reject) => {
            const [host, port] = gateway.caller.split(":");
            const socket = createConnection({ host: host ?? "", port: Number(port) });
            socket.once("error", reject);
            socket.pause();
            socket.write(`POST /${service}/x HTTP/1.1\r\nHost: ${ROUTE_HOST}\r\nX-Request-Id: slow\r\nX-Deadline-Ms: 3000\r\nContent-Length: 1\r\n\r\nx`);
            setTimeout(() => resolve(engines.get(service)?.openBytes() ?? 0), 1_500);
            setTimeout(() => socket.destroy(), 1_600);
        });
        expect(taken).to.be.within(1, 2 * MAX_BYTES);
    });
});
