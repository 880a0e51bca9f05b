import type { AddressInfo } from "node:net";
import { expect } from "chai";
import { waitFor } from "../cluster/waitFor.js";
import { listen } from "../shared/listen.js";
import { createMetadataStoreServer } from "../site/createMetadataStoreServer.js";
import { createScriptedEngineServer } from "../site/createScriptedEngineServer.js";
import { createOperatorConfig } from "./support/createOperatorConfig.js";
import { listenOnFreePort } from "./support/listenOnFreePort.js";
import { sendOnOwnConnection } from "./support/sendOnOwnConnection.js";
import { startGatewayProcess } from "./support/startGatewayProcess.js";

const EVENTS = "id: 1\ndata: one\n\nid: 2\ndata: two\n\n";
/** A request that the gateway doesn't send, since its target has just failed, is repeated. */
const MAX_TRIES = 5;
const PARALLEL_REQUESTS = 4;

const writeOwn = (id: string, status: string, headers: readonly string[], body: string): string =>
    [`HTTP/1.1 ${status}`, `X-Request-Id: ${id}`, ...headers, "", body].join("\r\n");
const writeWhole = (id: string, body: string): string => writeOwn(id, "200 OK", ["X-Response-Stamp: s", `Content-Length: ${body.length}`], body);

/** Answers that are cut at each byte. */
const framings: Record<string, (id: string, body: string) => string> = {
    "with a length": writeWhole,
    "in chunks": (id, body) => writeOwn(
        id,
        "200 OK",
        ["X-Response-Stamp: s", "Transfer-Encoding: chunked"],
        `${body.length.toString(16)}\r\n${body}\r\n0\r\nX-T: a\r\n\r\n`,
    ),
    "after interim responses": (id, body) => `HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Hints\r\nX-A: b\r\n\r\n${writeWhole(id, body)}`,
    "after an answer to another request": (id, body) => writeWhole("other", "abc") + writeWhole(id, body),
    "with folded lines": (id, body) => writeOwn(id, "200 OK", ["X-Response-Stamp: s", "X-A: a\r\n b", `Content-Length: ${body.length}`], body),
    "with bare line feeds": (id, body) => writeWhole(id, body).replaceAll("\r\n", "\n"),
};
const framingNames = Object.keys(framings);

describe("A gateway process whose target ends its connection at any byte of an answer", () => {
    const store = createMetadataStoreServer();
    /** Requests that the target has answered, and whether it wrote the whole answer. */
    const written = new Map<string, boolean>();
    const engine = createScriptedEngineServer(({ id, path }, socket) => {
        if (path === "/api/report") {
            const report = JSON.stringify({ models: [], in_flight: false, seq: 0 });
            socket.write(`HTTP/1.1 200 OK\r\nContent-Length: ${report.length}\r\n\r\n${report}`);
            return;
        }
        const [, kind, framing, at, end] = path.split("/");
        const text = framings[framingNames[Number(framing)] ?? ""]?.(id, kind === "stream" ? EVENTS : "whole") ?? "";
        written.set(id, Number(at) >= text.length);
        if (end === "fin") {
            socket.end(text.slice(0, Number(at)));
            return;
        }
        socket.write(text.slice(0, Number(at)));
        socket.resetAndDestroy();
    });
    let gateway: Awaited<ReturnType<typeof startGatewayProcess>>;
    let sequence = 0;

    const send = (path: string, version: string) => {
        sequence += 1;
        return sendOnOwnConnection(gateway.caller, { path, version, requestId: `r${sequence}`, deadlineMs: 1_500 });
    };

    const sendUntilWritten = async (path: string, version: string): ReturnType<typeof send> => {
        for (let tries = 0; tries < MAX_TRIES; tries += 1) {
            const res = await send(path, version);
            if (written.has(res.id)) {
                return res;
            }
        }
        throw new Error(`no request ${path} went to the target`);
    };

    before(async () => {
        await listenOnFreePort(store.server);
        store.put("op/config", JSON.stringify(createOperatorConfig(3)));
        const address = `127.0.0.1:${await listen(engine.server, 0)}`;
        store.put("servers/e1", JSON.stringify({ service: "s", address, zone: "a", slots: 8, state: "ready", models: [], seq: 1 }));
        gateway = await startGatewayProcess(`127.0.0.1:${(store.server.address() as AddressInfo).port}`);
        await waitFor("the gateway forwards to its target", async () => (await send("/unsafe/0/9999/fin", "1.1")).status === 200);
    });

    after(() => {
        gateway.stop();
        engine.close();
        store.close();
    });

    for (const [kind, version, end] of [
        ["unsafe", "1.1", "fin"],
        ["unsafe", "1.0", "reset"],
        ["stream", "1.1", "reset"],
        ["stream", "1.0", "fin"],
    ] as const) {
        // HTTP/1.0 callers got the begun part of a stream as if it were whole.
        it(`never passes on a part as whole to an HTTP/${version} caller, on the route ${kind} after a ${end}`, async () => {
            const faults: string[] = [];
            const check = async (framing: number, at: number): Promise<void> => {
                const { id, status, isWhole } = await sendUntilWritten(`/${kind}/${framing}/${at}/${end}`, version);
                const isPartOfStream = kind === "stream" && status === 200 && !isWhole;
                const isFailure = status === 502 || isPartOfStream;
                if (written.get(id) !== true && !isFailure) {
                    faults.push(`${status} ${isWhole ? "whole" : "cut"} after ${at} bytes of an answer ${framingNames[framing]}`);
                }
            };
            for (const [framing, name] of framingNames.entries()) {
                const length = framings[name]?.("r00000", kind === "stream" ? EVENTS : "whole").length ?? 0;
                for (let at = 0; at < length; at += PARALLEL_REQUESTS) {
                    await Promise.all(Array.from({ length: PARALLEL_REQUESTS }, (_, index) => check(framing, at + index)));
                }
            }
            expect(faults).to.deep.equal([]);
        });
    }
});
