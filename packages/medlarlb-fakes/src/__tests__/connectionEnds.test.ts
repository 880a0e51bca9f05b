import type { AddressInfo, Socket } from "node:net";
import { expect } from "chai";
import { request } from "undici";
import { waitFor } from "../cluster/waitFor.js";
import { listen } from "../shared/listen.js";
import { createMetadataStoreServer } from "../site/createMetadataStoreServer.js";
import { createScriptedEngineServer } from "../site/createScriptedEngineServer.js";
import { createOperatorConfig } from "./support/createOperatorConfig.js";
import { listenOnFreePort } from "./support/listenOnFreePort.js";
import { startGatewayProcess } from "./support/startGatewayProcess.js";

const LONG_BODY = "x".repeat(600_000);
const EVENTS = "id: 1\ndata: one\n\nid: 2\ndata: two\n\n";
const CUT_EVENTS = "id: 1\ndata: one\n\nid: 2\nda";

interface EndCase {
    path: string;
    /** First line of the answer and its further headers. */
    head: string[];
    body: string;
    /** Whether the target resets the connection instead of closing it. */
    resets?: boolean;
    /** What the caller gets; "cut" stands for an answer that visibly breaks off. */
    status: number;
    text: string;
}

describe("A gateway process whose target ends an answer with its connection", () => {
    const store = createMetadataStoreServer();
    let answer: Pick<EndCase, "head" | "body" | "resets"> = { head: ["HTTP/1.1 200 OK"], body: "ready" };
    const engine = createScriptedEngineServer(({ id, path }, socket: Socket) => {
        if (path === "/api/report") {
            const report = JSON.stringify({ models: [], in_flight: false, seq: 0 });
            socket.write(`HTTP/1.1 200 OK\r\nContent-Length: ${report.length}\r\n\r\n${report}`);
            return;
        }
        const head = [...answer.head, `X-Request-Id: ${id}`, "X-Response-Stamp: s", "", ""].join("\r\n");
        if (answer.resets === true) {
            socket.write(head + answer.body, () => setTimeout(() => socket.resetAndDestroy(), 30));
        }
        else {
            socket.end(head + answer.body);
        }
    });
    let gateway: Awaited<ReturnType<typeof startGatewayProcess>>;
    let sequence = 0;

    const sendRequest = async (path: string): Promise<{ status: number; text: string }> => {
        sequence += 1;
        const headers = { "host": "site.example", "x-request-id": `r${sequence}`, "x-deadline-ms": "1500" };
        const res = await request(`http://${gateway.caller}${path}`, { method: "POST", headers, body: "x" });
        return { status: res.statusCode, text: await res.body.text().catch(() => "cut") };
    };

    before(async () => {
        await listenOnFreePort(store.server);
        store.put("op/config", JSON.stringify(createOperatorConfig(3)));
        const address = `127.0.0.1:${await listen(engine.server, 0)}`;
        store.put("servers/e1", JSON.stringify({ service: "s", address, zone: "a", slots: 8, state: "ready", models: [], seq: 1 }));
        gateway = await startGatewayProcess(`127.0.0.1:${(store.server.address() as AddressInfo).port}`);
        await waitFor("the gateway forwards to its target", async () => (await sendRequest("/unsafe/x")).status === 200);
    });

    after(() => {
        gateway.stop();
        engine.close();
        store.close();
    });

    const plain = { path: "/unsafe/x", head: ["HTTP/1.1 200 OK"] };
    const stream = { path: "/stream/x", head: ["HTTP/1.1 200 OK", "Content-Type: text/event-stream"] };
    const oldStream = { ...stream, head: ["HTTP/1.0 200 OK", "Content-Type: text/event-stream"] };
    const cases: Record<string, EndCase> = {
        "a plain answer": { ...plain, body: "whole", status: 200, text: "whole" },
        "a plain answer in HTTP/1.0": { ...plain, head: ["HTTP/1.0 200 OK"], body: "whole", status: 200, text: "whole" },
        "a long plain answer": { ...plain, body: LONG_BODY, status: 200, text: LONG_BODY },
        "an empty plain answer": { ...plain, body: "", status: 200, text: "" },
        "a plain answer by a reset": { ...plain, body: "part", resets: true, status: 502, text: "" },
        "a long plain answer by a reset": { ...plain, body: LONG_BODY, resets: true, status: 200, text: "cut" },
        "a whole stream": { ...stream, body: EVENTS, status: 200, text: EVENTS },
        "a whole stream in HTTP/1.0": { ...oldStream, body: EVENTS, status: 200, text: EVENTS },
        "a stream inside an event": { ...stream, body: CUT_EVENTS, status: 200, text: "cut" },
        "a stream inside an event in HTTP/1.0": { ...oldStream, body: CUT_EVENTS, status: 200, text: "cut" },
        "a stream by a reset": { ...stream, body: EVENTS, resets: true, status: 200, text: "cut" },
    };
    for (const [name, { path, status, text, ...bytes }] of Object.entries(cases)) {
        it(`passes on ${name} as whole or as broken off`, async () => {
            answer = bytes;
            const res = await sendRequest(path);
            expect(res.status).to.equal(status);
            if (status === 200) {
                expect(res.text === text, `the text is ${res.text.slice(0, 40)}`).to.equal(true);
            }
        });
    }
});
