import type { Socket } from "node:net";
import { expect } from "chai";
import { waitFor } from "../cluster/waitFor.js";
import { listen } from "../shared/listen.js";
import { createMetadataStoreServer } from "../site/createMetadataStoreServer.js";
import { createScriptedEngineServer } from "../site/createScriptedEngineServer.js";
import type { ScriptedRequest } from "../site/scriptedRequest.js";
import { sendOnOwnConnection } from "./support/sendOnOwnConnection.js";
import { startGatewayProcess } from "./support/startGatewayProcess.js";

const HOST = "site.example";
const SERVICES = 120;
const ENGINES = 2;
const BODY = "id: 1\ndata: one\n\nid: 2\ndata: two\n\n";
const FAILURE_BODY = "failed";
const HEAD_END = "\r\n\r\n";
const LAST_CHUNK = "\r\n0\r\n\r\n";
const PARALLEL_REQUESTS = 8;
/** Distance in bytes between two cuts of a head. */
const CUT_STEP = 5;

const writeAnswer = (id: string, status: number, headers: readonly string[], body: string): string =>
    [`HTTP/1.1 ${status} Any`, `X-Request-Id: ${id}`, "X-Response-Stamp: s", "Content-Type: text/event-stream", ...headers, "", body].join("\r\n");
const writeWhole = (id: string): string => writeAnswer(id, 200, [`Content-Length: ${BODY.length}`], BODY);
const writeFailure = (id: string): string => writeAnswer(id, 500, [`Content-Length: ${FAILURE_BODY.length}`], FAILURE_BODY);

/** Answers whose heads are cut. */
const framings: Record<string, (id: string) => string> = {
    "with a length": writeWhole,
    "in chunks": id => writeAnswer(id, 200, ["Transfer-Encoding: chunked"], `${BODY.length.toString(16)}\r\n${BODY}\r\n0\r\n\r\n`),
    "that ends with its connection": id => writeAnswer(id, 200, [], BODY),
    "after an interim response": id => `HTTP/1.1 100 Continue\r\n\r\n${writeWhole(id)}`,
    "after a whole answer to another request": id => writeWhole("other") + writeWhole(id),
    "without a body": id => writeAnswer(id, 204, [], ""),
    "that is an error": writeFailure,
};

type Ending = "fin" | "reset";

const cut = (text: string, at: number, ending: Ending) => (socket: Socket): void => {
    if (ending === "fin") {
        socket.end(text.slice(0, at));
        return;
    }
    socket.write(text.slice(0, at));
    socket.resetAndDestroy();
};

const SOUND = "a sound answer";
const FAILURE = "an error";

/** What the second engine does. */
const followers: Record<string, (id: string, text: string, at: number) => (socket: Socket) => void> = {
    [SOUND]: id => socket => void socket.write(writeWhole(id)),
    "an answer that is cut there, too": (_, text, at) => cut(text, at, "fin"),
    "an answer that is reset there": (_, text, at) => cut(text, at, "reset"),
    [FAILURE]: id => socket => void socket.write(writeFailure(id)),
};

interface Case {
    kind: "safe" | "again";
    framing: string;
    at: number;
    ending: Ending;
    follower: string;
}

/** Returns the length of the heads of an answer; a cut before it leaves the last head without its end. */
const headLength = (text: string): number =>
    text.lastIndexOf(HEAD_END, text.includes(LAST_CHUNK) ? text.indexOf(BODY) : undefined) + HEAD_END.length;

const cases: Case[] = Object.keys(framings).flatMap(framing => {
    const length = headLength(framings[framing]?.("r000") ?? "");
    const spread = Array.from({ length: Math.ceil(length / CUT_STEP) }, (_, index) => index * CUT_STEP);
    const cuts = [...spread, length - 3, length - 2, length - 1];
    return cuts.flatMap((at, index) => Object.keys(followers).map((follower, position): Case => ({
        kind: (index + position) % 2 === 0 ? "safe" : "again",
        framing,
        at,
        ending: Math.floor(index / 2) % 2 === 0 ? "fin" : "reset",
        follower,
    })));
});

const isAnswerOf = (follower: string, status: number, body: string): boolean =>
    (follower === SOUND && status === 200 && body === BODY) || (follower === FAILURE && status === 500 && body === FAILURE_BODY);

describe("A gateway process whose first engine ends its connection inside the head of an answer that another engine may give", () => {
    const store = createMetadataStoreServer();
    const attempts = new Map<string, { engine: number; isKept: boolean }[]>();
    const casesById = new Map<string, Case>();
    const answer = (engine: number) => (req: ScriptedRequest, socket: Socket): void => {
        const { id } = req;
        const current = casesById.get(id);
        const earlier = attempts.get(id) ?? [];
        attempts.set(id, [...earlier, { engine, isKept: req.previousIds.length > 0 }]);
        if (current === undefined) {
            socket.write(writeWhole(id));
            return;
        }
        const text = framings[current.framing]?.(id) ?? "";
        if (earlier.length === 0) {
            cut(text, current.at, current.ending)(socket);
        }
        else {
            followers[current.follower]?.(id, text, current.at)(socket);
        }
    };
    const engines = Array.from({ length: ENGINES }, (_, index) => createScriptedEngineServer(answer(index)));
    let gateway: Awaited<ReturnType<typeof startGatewayProcess>>;
    let sequence = 99;

    const send = (path: string, version: string, sent?: Case) => {
        sequence += 1;
        const requestId = `r${sequence}`;
        if (sent !== undefined) {
            casesById.set(requestId, sent);
        }
        return sendOnOwnConnection(gateway.caller, { path, version, requestId, deadlineMs: 1_900 });
    };

    before(async () => {
        const services = Array.from({ length: SERVICES }, (_, index) => `s${index}`);
        store.put("op/config", JSON.stringify({
            version: 3,
            routes: services.flatMap(service => (["safe", "again"] as const).map(kind => ({
                name: `${kind}-${service}`,
                host: HOST,
                prefix: `/${kind}/${service}/`,
                kind: kind === "safe" ? "safe" : "streaming",
                timeout_ms: 2_000,
                service,
                max_attempts: 2,
                resumable: kind === "again",
            }))),
            services: services.map(name => ({ name, health_path: "/health", max_conns: 50 })),
            limits: { max_header_bytes: 4_096, max_body_bytes: 10_000, header_timeout_ms: 3_000, idle_timeout_ms: 15_000 },
        }));
        for (const [index, { server }] of engines.entries()) {
            const address = `127.0.0.1:${await listen(server, 0)}`;
            for (const service of services) {
                store.put(`servers/${service}-${index}`, JSON.stringify({ service, address, zone: "a", slots: 64, state: "ready", models: [], seq: 1, born: 1 }));
            }
        }
        gateway = await startGatewayProcess(`127.0.0.1:${await listen(store.server, 0)}`);
        await waitFor("all targets are known", () => gateway.log.filter(line => line.event === "targetFound").length === store.count("servers/"));
        await waitFor("the gateway has its part of the retry budget", () =>
            gateway.log.some(line => line.event === "retryShare" && Number(line.tokens) > 0));
    });

    after(() => {
        gateway.stop();
        engines.forEach(engine => engine.close());
        store.close();
    });

    it("passes on only whole answers, and the second one if it is sound", async () => {
        const faults: string[] = [];
        let retried = 0;
        let kept = 0;
        const check = async (current: Case, index: number): Promise<void> => {
            const path = `/${current.kind}/s${index % SERVICES}`;
            const version = index % 3 === 0 ? "1.0" : "1.1";
            const { id, status, body, isWhole } = await send(path, version, current);
            const runs = attempts.get(id) ?? [];
            const [first, second] = runs;
            retried += second === undefined ? 0 : 1;
            kept += first?.isKept === true ? 1 : 0;
            const isFromGateway = isWhole && (status === 502 || status === 503);
            const hasOtherEngine = second !== undefined && second.engine !== first?.engine;
            const isFromSecond = hasOtherEngine && isWhole && isAnswerOf(current.follower, status, body);
            const mustBeFromSecond = second !== undefined && current.follower === SOUND;
            if (!isFromSecond && (!isFromGateway || mustBeFromSecond)) {
                const got = `${status} ${isWhole ? "whole" : "cut"} "${body}"`;
                faults.push(`${id} ${got} after ${runs.length} runs of ${JSON.stringify(current)}, HTTP/${version}`);
            }
        };
        for (let at = 0; at < cases.length; at += PARALLEL_REQUESTS) {
            // Sound answers leave connections that the next requests use.
            await Promise.all(Array.from({ length: PARALLEL_REQUESTS }, (_, index) => send(`/safe/s${(at + index) % SERVICES}`, "1.1")));
            await Promise.all(cases.slice(at, at + PARALLEL_REQUESTS).map((each, index) => check(each, at + index)));
        }
        expect(faults).to.deep.equal([]);
        expect(retried).to.be.above(cases.length / 2);
        expect(kept).to.be.above(cases.length / 4);
    });
});
