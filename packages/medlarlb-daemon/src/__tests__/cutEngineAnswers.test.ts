import { createServer } from "node:net";
import type { AddressInfo, Socket } from "node:net";
import { expect } from "chai";
import { createEngineControl } from "medlarlb-site-adapter/createEngineControl";
import { createConnectionPool } from "medlarlb-targets/createConnectionPool";
import { createTextRequest } from "medlarlb-targets/createTextRequest";

const REPORT = JSON.stringify({ models: [], in_flight: false, seq: 4, runs: [["r1"]] });
const WHOLE = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";

const LEAVING = "Server-Leaving: 1";

const write = (status: number, headers: readonly string[], body = ""): string => [`HTTP/1.1 ${status} Any`, ...headers, "", body].join("\r\n");
const lengthOf = (body: string): string => `Content-Length: ${body.length}`;

/** Answers of engines that are cut at each byte. */
const answers: Record<string, (body: string) => string> = {
    "with a length": body => write(200, [LEAVING, lengthOf(body)], body),
    "in chunks": body => write(200, ["Transfer-Encoding: chunked"], `${body.length.toString(16)}\r\n${body}\r\n0\r\n\r\n`),
    "that accepts": body => write(202, [lengthOf(body), LEAVING], body),
    "after an interim response": body => write(100, []) + write(200, [lengthOf(body)], body),
    "that says that nothing ran": body => write(503, ["X-Not-Run: 1", lengthOf(body)], body),
    "that ends with its connection": body => write(200, [LEAVING], body),
};
/** Answers whose connection ends their body, of which only the head can be cut. */
const CLOSE_DELIMITED = "that ends with its connection";

describe("An engine's answer to an order or a request for its report", () => {
    const engine = { targetId: "e1" as never, address: "" };
    const pool = createConnectionPool({ now: () => performance.now(), countConnection: () => undefined, readAnswerId: () => undefined });
    let left = 0;
    const control = createEngineControl(createTextRequest(pool), "i1" as never, () => {
        left += 1;
    });
    /** Requests that connections have carried, by connection. */
    const carried = new Map<Socket, number>();
    let respond = (socket: Socket): void => void socket.write(WHOLE);
    let keptConnections = 0;
    const server = createServer(socket => {
        socket.on("error", () => undefined);
        socket.on("data", () => {
            const count = carried.get(socket) ?? 0;
            carried.set(socket, count + 1);
            keptConnections += count > 0 ? 1 : 0;
            respond(socket);
        });
    });

    before(done => {
        server.listen(0, "127.0.0.1", () => {
            engine.address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
            done();
        });
    });

    after(() => {
        pool.close();
        carried.forEach((_, socket) => socket.destroy());
        server.close();
    });

    const order = async () =>
        (await control.order(engine, { action: "load", model: "m1", adapter: undefined, expectedOrderCount: 2, fence: 7 })).answer;
    const report = async () => (await control.report(engine)).mapOr("failed", () => "whole");
    const findRun = () => control.findRun(engine, "r2");

    const calls = {
        "an order": { call: order, body: "done", cut: "unknown", whole: { 200: "holds", 202: "accepted", 503: "refused" } },
        "a request for its report": { call: report, body: REPORT, cut: "failed", whole: { 200: "whole", 202: "failed", 503: "failed" } },
        "the search for a run": { call: findRun, body: REPORT, cut: "unknown", whole: { 200: "notListed", 202: "unknown", 503: "unknown" } },
    };
    for (const [name, { call, body, cut, whole }] of Object.entries(calls)) {
        for (const [framing, writeAnswer] of Object.entries(answers)) {
            it(`decides nothing when it is cut on a kept connection: ${name}, ${framing}`, async () => {
                const text = writeAnswer(body);
                const cutLength = framing === CLOSE_DELIMITED ? text.length - body.length : text.length;
                keptConnections = 0;
                left = 0;
                const faults: string[] = [];
                for (let at = 0; at < cutLength; at += 1) {
                    for (const end of ["fin", "reset"]) {
                        respond = socket => void socket.write(WHOLE);
                        await order();
                        respond = socket => {
                            socket.write(text.slice(0, at));
                            if (end === "fin") {
                                socket.end();
                            }
                            else {
                                socket.resetAndDestroy();
                            }
                        };
                        const got = await call();
                        if (got !== cut) {
                            faults.push(`${got} after ${at} bytes and ${end}`);
                        }
                    }
                }
                expect(faults).to.deep.equal([]);
                expect(keptConnections).to.equal(2 * cutLength);
                expect(left).to.equal(0);
                respond = socket => socket.end(text);
                const status = Number(/HTTP\/1.1 ([2-5]\d\d)/.exec(text)?.[1]);
                expect(await call()).to.equal(Object.entries(whole).find(([each]) => Number(each) === status)?.[1]);
                expect(left).to.equal(text.includes(LEAVING) ? 1 : 0);
            });
        }
    }
});
