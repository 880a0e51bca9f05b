import type { AddressInfo } from "node:net";
import { expect } from "chai";
import { request } from "undici";
import { waitFor } from "../cluster/waitFor.js";
import { listen } from "../shared/listen.js";
import { createMetadataStoreServer } from "../site/createMetadataStoreServer.js";
import { createScriptedEngineServer } from "../site/createScriptedEngineServer.js";
import type { ScriptedRequest } from "../site/scriptedRequest.js";
import { listenOnFreePort } from "./support/listenOnFreePort.js";
import { startGatewayProcess } from "./support/startGatewayProcess.js";

const ROUTE_HOST = "site.example";
const DEADLINE_MS = 4_000;
/** Longest time in ms to a final answer. */
const MAX_ANSWER_MS = 1_000;
/** Time in ms that the sound target of a service takes, which has one slot, so that some of several requests don't go there. */
const SOUND_ANSWER_MS = 40;
const ROUTE_KINDS = ["safe", "unsafe", "stream", "resumable"];
const MAX_ROUNDS = 10;

const bodyOf = (path: string): string => (/\/(?:stream|resumable)\//.test(path) ? "id: 1\ndata: whole\n\n" : "whole");

const writeAnswer = (req: ScriptedRequest, status: number, headers: readonly string[], body: string): string =>
    [`HTTP/1.1 ${status} Any`, `X-Request-Id: ${req.id}`, "X-Response-Stamp: s", ...headers, "", body].join("\r\n");

const writeWhole = (req: ScriptedRequest, status: number, headers: readonly string[] = []): string => {
    const body = bodyOf(req.path);
    return writeAnswer(req, status, [...headers, `Content-Length: ${body.length}`], body);
};

/** Header lines that no HTTP message may have (RFC 9110, 5.5). */
const malformedLines: Record<string, string> = {
    "a control character in a header": "X-Note: a\u0007b",
    "the control character 127 in a header": "X-Note: a\u007fb",
    "a zero byte after 60,000 spaces in a header": `X-Note:${" ".repeat(60_000)}\0b`,
};

interface Framing {
    write: (req: ScriptedRequest, line: string) => string;
    /** Whether the answer ends with its connection. */
    ends?: boolean;
}

const framings: Record<string, Framing> = {
    "of a known length": { write: (req, line) => writeWhole(req, 200, [line]) },
    "in chunks": {
        write: (req, line) => {
            const body = bodyOf(req.path);
            return writeAnswer(req, 200, [line, "Transfer-Encoding: chunked"], `${body.length.toString(16)}\r\n${body}\r\n0\r\n\r\n`);
        },
    },
    "that ends with its connection": { write: (req, line) => writeAnswer(req, 200, [line], bodyOf(req.path)), ends: true },
    "with status 500": { write: (req, line) => writeWhole(req, 500, [line]) },
};

/** Each case has services of its own, since a target that fails gets fewer requests. The first part of a path names the case. */
const cases = Object.entries(malformedLines).flatMap(([lineName, line]) =>
    Object.entries(framings).map(([framingName, { write, ends = false }]) => ({
        name: `${lineName} of an answer ${framingName}`,
        write: (req: ScriptedRequest) => write(req, line),
        ends,
    })));
const services = cases.flatMap((_, index) => ROUTE_KINDS.map(kind => ({ name: `${index}/${kind}`, kind })));

describe("A gateway process whose targets send malformed answers", () => {
    const store = createMetadataStoreServer();
    const sound = createScriptedEngineServer((req, socket) => void setTimeout(() => socket.write(writeWhole(req, 200)), SOUND_ANSWER_MS));
    const malformedIds = new Set<string>();
    const faulty = createScriptedEngineServer((req, socket) => {
        const malformed = cases[Number(req.path.split("/")[1])];
        malformedIds.add(req.id);
        socket.write(malformed?.write(req) ?? "", () => malformed?.ends === true && socket.end());
    });
    let gateway: Awaited<ReturnType<typeof startGatewayProcess>>;
    let sequence = 0;

    const send = async (path: string) => {
        sequence += 1;
        const id = `r${sequence}`;
        const startedAtMs = performance.now();
        const headers = { "host": ROUTE_HOST, "x-request-id": id, "x-deadline-ms": String(DEADLINE_MS) };
        const res = await request(`http://${gateway.caller}${path}`, { method: "POST", headers, body: "x" });
        const text = await res.body.text();
        return { id, status: res.statusCode, text, tookMs: performance.now() - startedAtMs };
    };

    /** Sends requests, several at once, until some have got a malformed answer, and returns the answers of the last round. */
    const sendUntilMalformed = async (path: string): Promise<Awaited<ReturnType<typeof send>>[]> => {
        for (let round = 0; round < MAX_ROUNDS; round += 1) {
            const answers = await Promise.all(Array.from({ length: 4 }, () => send(path)));
            if (answers.some(each => malformedIds.has(each.id))) {
                return answers;
            }
        }
        throw new Error("no request went to the faulty target");
    };

    before(async () => {
        await listenOnFreePort(store.server);
        store.put("op/config", JSON.stringify({
            version: 3,
            routes: services.map(({ name, kind }) => ({
                name,
                host: ROUTE_HOST,
                prefix: `/${name}/`,
                kind: kind.endsWith("safe") ? kind : "streaming",
                timeout_ms: DEADLINE_MS,
                service: name,
                max_attempts: 2,
                resumable: kind === "resumable",
            })),
            services: services.map(({ name }) => ({ name, health_path: "/health", max_conns: 50 })),
            limits: { max_header_bytes: 4_096, max_body_bytes: 10_000, header_timeout_ms: 3_000, idle_timeout_ms: 15_000 },
        }));
        const targets = {
            faulty: { port: await listen(faulty.server, 0), slots: 8 },
            sound: { port: await listen(sound.server, 0), slots: 1 },
        };
        for (const [index, { name }] of services.entries()) {
            for (const [id, { port, slots }] of Object.entries(targets)) {
                const entry = { service: name, address: `127.0.0.1:${port}`, zone: "a", slots, state: "ready", models: [], seq: 1 };
                store.put(`servers/${id}-${index}`, JSON.stringify(entry));
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
        faulty.close();
        sound.close();
        store.close();
    });

    for (const [index, { name }] of cases.entries()) {
        // LOST: a control character ended the process, and with it all requests that were open there.
        // CONFIG: a run of spaces before one kept the process busy, so that it answered nothing more for minutes.
        it(`answers all requests at once, as their kinds allow, after ${name}`, async () => {
            for (const kind of ROUTE_KINDS) {
                const mayRepeat = kind === "safe" || kind === "resumable";
                const path = `/${index}/${kind}/x`;
                for (const { id, status, text, tookMs } of await sendUntilMalformed(path)) {
                    const isWhole = mayRepeat || !malformedIds.has(id);
                    const expected = isWhole ? { status: 200, text: bodyOf(path) } : { status: 502, text: "" };
                    expect({ status, text: status === 200 ? text : "" }, kind).to.deep.equal(expected);
                    expect(tookMs, kind).to.be.below(MAX_ANSWER_MS);
                }
            }
        }).timeout(60_000);
    }
});
