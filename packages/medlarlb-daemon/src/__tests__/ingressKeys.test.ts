import { createConnection } from "node:net";
import type { AddressInfo } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { expect } from "chai";
import type { RoutingConfig } from "medlarlb-types/routingConfig";
import { decodeRoutingConfig } from "medlarlb-site-adapter/decodeRoutingConfig";
import { createIngressServer } from "../gateway/createIngressServer.js";
import type { IngressCall } from "../gateway/ingressCall.js";
import { siteAdapter } from "../gateway/siteAdapter.js";

const KEY = "secret-key";

const createConfig = (keys?: string[]): RoutingConfig => decodeRoutingConfig(JSON.stringify({
    version: 1,
    routes: [{ name: "r", host: "h", prefix: "/", kind: "unsafe", timeout_ms: 60_000, service: "s" }],
    services: [{ name: "s" }],
    limits: { max_header_bytes: 4_096, max_body_bytes: 10_000, header_timeout_ms: 3_000, idle_timeout_ms: 60_000 },
    ...(keys === undefined ? {} : { tenants: [{ name: "alpha", api_keys: keys }] }),
})).unwrapOr(undefined as never);

describe("The server for callers, while a request's body is still arriving", () => {
    let config: RoutingConfig;
    let calls: IngressCall[];
    let rejections: unknown[][];
    let ingress: ReturnType<typeof createIngressServer>;

    beforeEach(done => {
        calls = [];
        rejections = [];
        config = createConfig([KEY]);
        ingress = createIngressServer({
            adapter: siteAdapter,
            config: () => config,
            isStopping: () => false,
            isClosing: () => false,
            now: () => performance.now(),
            random: () => 0,
            onCall: call => calls.push(call),
            onError: (_kind, err) => {
                throw err;
            },
            onRejected: (...rejection) => rejections.push(rejection),
        });
        ingress.applyLimits(config);
        ingress.server.listen(0, "127.0.0.1", done);
    });

    afterEach(() => {
        ingress.server.closeAllConnections();
        ingress.server.close();
    });

    /** Sends a request whose last byte follows after a new configuration, and returns what the server has answered by then. */
    const send = async (headers: string[], next: RoutingConfig): Promise<string> => {
        const socket = createConnection((ingress.server.address() as AddressInfo).port, "127.0.0.1");
        let received = "";
        socket.on("data", bytes => {
            received += bytes.toString("latin1");
        });
        socket.write(["POST / HTTP/1.1", "Host: h", "X-Request-Id: r1", "Content-Length: 2", ...headers, "", "x"].join("\r\n"));
        await sleep(50);
        expect([received, calls]).to.deep.equal(["", []]);
        config = next;
        socket.write("x");
        await sleep(50);
        socket.destroy();
        return received;
    };

    it("answers 401 if its key is withdrawn meanwhile", async () => {
        expect(await send([`Api-Key: ${KEY}`], createConfig(["other"]))).to.match(/^HTTP\/1.1 401 /).and.not.include(KEY);
        expect(calls).to.deep.equal([]);
        expect(rejections).to.deep.equal([[401, "the API key belongs to no workspace", "r1"]]);
    });

    it("passes it on with its workspace and the key's digest if a new configuration keeps the key", async () => {
        expect(await send([`Api-Key: ${KEY}`], createConfig(["other", KEY]))).to.equal("");
        expect(calls[0]?.metadata.workspace).to.deep.include({ name: "alpha" });
        expect(calls[0]?.metadata.keyDigest).to.equal(siteAdapter.digestKey(KEY));
        expect(calls[0]?.hasWorkspaces).to.equal(true);
    });

    it("passes it on without a workspace if keys are no longer used", async () => {
        expect(await send([`Api-Key: ${KEY}`], createConfig())).to.equal("");
        expect(calls[0]?.metadata).not.to.have.any.keys("workspace", "keyDigest");
        expect(calls[0]?.hasWorkspaces).to.equal(false);
    });
});
