import { createConnection } from "node:net";
import type { AddressInfo } from "node:net";
import { expect } from "chai";
import type { RoutingConfig } from "medlarlb-types/routingConfig";
import { createIngressServer } from "../gateway/createIngressServer.js";
import type { IngressCall } from "../gateway/ingressCall.js";

const HEADER_TIMEOUT_MS = 100;
/** Longer than the server takes to notice a slow header. */
const WAIT_MS = 2_600;

describe("createIngressServer", () => {
    const route = { host: "h", prefix: "/", kind: "unsafe", timeoutMs: 60_000, latencyTargetMs: 100, resumable: false, destinations: [] };
    const limits = { maxHeaderBytes: 4_096, maxBodyBytes: 10_000, headerTimeoutMs: HEADER_TIMEOUT_MS, idleTimeoutMs: 60_000 };
    const config = { version: 1, routes: [route], services: new Map(), limits } as unknown as RoutingConfig;
    let calls: IngressCall[];
    let ingress: ReturnType<typeof createIngressServer>;

    beforeEach(done => {
        calls = [];
        ingress = createIngressServer({
            adapter: {
                callerFirstEventTimeoutMs: () => undefined,
                readCall: () => ({ callerRequestId: "r1", callerIdentity: "", deadlineMs: undefined, promptParts: [] }),
            } as never,
            config: () => config,
            isStopping: () => false,
            isClosing: () => false,
            now: () => performance.now(),
            random: () => 0,
            onCall: call => calls.push(call),
            onRejected: () => undefined,
        });
        ingress.applyLimits(config);
        ingress.server.listen(0, "127.0.0.1", done);
    });

    afterEach(() => {
        ingress.server.closeAllConnections();
        ingress.server.close();
    });

    /** Sends a whole request, and further bytes on the same connection 0.1 s later. Returns all that the server answers. */
    const sendThen = (follow: string, onCall: (call: IngressCall) => void): Promise<string> => new Promise(resolve => {
        const socket = createConnection((ingress.server.address() as AddressInfo).port, "127.0.0.1");
        let received = "";
        socket.on("data", bytes => {
            received += bytes.toString("latin1");
        });
        socket.on("error", () => undefined);
        socket.write("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\nx");
        setTimeout(() => {
            calls.forEach(onCall);
            socket.write(follow);
        }, 100);
        setTimeout(() => {
            socket.destroy();
            resolve(received);
        }, WAIT_MS);
    });

    it("doesn't answer a request that is passed on with 408 because the next one on its connection is slow", async () => {
        expect(await sendThen("POST /b HTTP/1.1\r\nHo", () => undefined)).to.equal("");
        expect(calls).to.have.lengthOf(1);
    }).timeout(10_000);

    it("doesn't answer a request that is passed on with 400 because bytes that follow it are malformed", async () => {
        expect(await sendThen("nonsense\r\n\r\n", () => undefined)).to.equal("");
        expect(calls).to.have.lengthOf(1);
    }).timeout(10_000);

    it("writes no answer into the body of another one", async () => {
        const received = await sendThen("POST /b HTTP/1.1\r\nHo", ({ res }) => {
            res.writeHead(200, { "content-type": "text/event-stream" });
            res.write("id: 1\n\n");
        });
        expect(received).to.contain("id: 1");
        expect(received).not.to.contain("HTTP/1.1 408");
    }).timeout(10_000);

    it("sends the answer that is due whole after malformed bytes, and then closes the connection", async () => {
        const closed = new Promise<void>(resolve => ingress.server.once("connection", socket => socket.once("close", () => resolve())));
        const received = await sendThen("nonsense\r\n\r\n", ({ res }) => setTimeout(() => res.end("whole"), 200));
        expect(received).to.match(/^HTTP\/1\.1 200 OK\r\n/).and.to.match(/\r\n\r\nwhole$/);
        await closed;
    }).timeout(10_000);
});
