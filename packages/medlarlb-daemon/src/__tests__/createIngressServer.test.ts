import { createConnection } from "node:net";
import type { AddressInfo } from "node:net";
import { expect } from "chai";
import type { RoutingConfig } from "medlarlb-types/routingConfig";
import { createIngressServer } from "../gateway/createIngressServer.js";
import type { IngressCall } from "../gateway/ingressCall.js";

const HEADER_TIMEOUT_MS = 100;
/** Longer than the server takes to notice a slow header. */
const WAIT_MS = 2_600;
const WHOLE_REQUEST = "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\nx";

type IngressHandler = (call: IngressCall) => void;

describe("createIngressServer", () => {
    const route = { host: "h", prefix: "/", kind: "unsafe", timeoutMs: 60_000, latencyTargetMs: 100, resumable: false, destinations: [] };
    const limits = { maxHeaderBytes: 4_096, maxBodyBytes: 10_000, headerTimeoutMs: HEADER_TIMEOUT_MS, idleTimeoutMs: 60_000 };
    const config = { version: 1, routes: [route], services: new Map(), limits } as unknown as RoutingConfig;
    let calls: IngressCall[];
    let failures: string[];
    let failAt: string | undefined;
    /** Throws an error that nobody has foreseen, at the place that a test names. */
    const passBy = (place: string): void => {
        if (place === failAt) {
            throw new TypeError(`a fault at ${place}`);
        }
    };
    let ingress: ReturnType<typeof createIngressServer>;

    beforeEach(done => {
        calls = [];
        failures = [];
        failAt = undefined;
        ingress = createIngressServer({
            adapter: {
                callerFirstEventTimeoutMs: () => undefined,
                readCall: () => {
                    passBy("readCall");
                    return { callerRequestId: "r1", callerIdentity: "", deadlineMs: undefined, promptParts: [] };
                },
            } as never,
            config: () => config,
            isStopping: () => false,
            isClosing: () => false,
            now: () => performance.now(),
            random: () => 0,
            onCall: call => {
                passBy("onCall");
                calls.push(call);
            },
            onRejected: status => passBy(`onRejected ${status}`),
            onError: (kind, err) => failures.push(`${kind}: ${String(err)}`),
        });
        ingress.applyLimits(config);
        ingress.server.listen(0, "127.0.0.1", done);
    });

    afterEach(() => {
        ingress.server.closeAllConnections();
        ingress.server.close();
    });

    /**
     * Sends a whole request, unless other first bytes are given, and further bytes on the same connection 0.1 s later.
     * Returns all that the server answers.
     */
    const sendThen = (follow: string, onCall: IngressHandler, first = WHOLE_REQUEST): Promise<string> => new Promise(resolve => {
        const socket = createConnection((ingress.server.address() as AddressInfo).port, "127.0.0.1");
        let received = "";
        socket.on("data", bytes => {
            received += bytes.toString("latin1");
        });
        socket.on("error", () => undefined);
        socket.write(first);
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

    // FAULT: the error ended the process, with all requests that it had.
    for (const place of ["readCall", "onCall"]) {
        it(`answers a request with 503 whose handling throws an error in ${place}, and serves the next one`, async () => {
            failAt = place;
            const received = await sendThen("", () => undefined);
            expect(received).to.match(/^HTTP\/1\.1 503 /);
            expect(failures).to.deep.equal([`request: TypeError: a fault at ${place}`]);
            failAt = undefined;
            await sendThen("", () => undefined);
            expect(calls).to.have.lengthOf(1);
        }).timeout(10_000);
    }

    it("closes a connection whose malformed bytes can't be handled because of an error", async () => {
        failAt = "onRejected 400";
        const closed = new Promise<void>(resolve => ingress.server.once("connection", socket => socket.once("close", () => resolve())));
        expect(await sendThen("", () => undefined, "nonsense\r\n\r\n")).to.equal("");
        expect(failures).to.deep.equal(["connection: TypeError: a fault at onRejected 400"]);
        await closed;
    }).timeout(10_000);
});
