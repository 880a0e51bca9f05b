import { spawn } from "node:child_process";
import type { ChildProcess } from "node:child_process";
import { once } from "node:events";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import type { AddressInfo } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { expect } from "chai";
import { request } from "undici";
import { createUserEngineServer } from "../site/createUserEngineServer.js";
import { createMetadataStoreServer } from "../site/createMetadataStoreServer.js";
import { findFreePort } from "../cluster/findFreePort.js";
import { waitFor } from "../cluster/waitFor.js";
import { createGatewaySettings } from "./support/createGatewaySettings.js";
import { createOperatorConfig } from "./support/createOperatorConfig.js";
import { listenOnFreePort } from "./support/listenOnFreePort.js";
import type { SendOptions } from "./support/sendOptions.js";
import { waitForAnswer } from "./support/waitForAnswer.js";
import { watchRetryTokens } from "./support/watchRetryTokens.js";

const GATEWAY_SCRIPT = "packages/medlarlb-daemon/lib/gatewayMain.js";
const ROUTE_HOST = "site.example";

describe("A gateway process with stand-ins for the users' engines and metadata store", () => {
    const folder = mkdtempSync(join(tmpdir(), "medlarlb-gateway-"));
    const engines = [createUserEngineServer("e1"), createUserEngineServer("e2")];
    const extraEngines: typeof engines = [];
    const store = createMetadataStoreServer();
    let gateway: ChildProcess;
    let caller = "";
    let readiness = "";
    let metrics = "";
    let peer = "";
    let sequence = 0;

    /** Writes the entry of an engine into the metadata store. `born` tells one start of it from another. */
    const registerEngine = (id: string, address: string, state = "ready", service = "s", born = 1): void =>
        store.put(`servers/${id}`, JSON.stringify({ service, address, zone: "a", version: "v1", slots: 8, state, models: [], seq: 1, born }));

    /** Starts a gateway on free ports and waits until it reaches an engine. Without `readLog` its output pipe is left to fill up. */
    const startGateway = async (readLog: boolean): Promise<void> => {
        const findAddress = async (): Promise<string> => `127.0.0.1:${await findFreePort()}`;
        caller = await findAddress();
        readiness = await findAddress();
        metrics = await findAddress();
        peer = await findAddress();
        const path = join(folder, "settings.ini");
        const storeAddress = `127.0.0.1:${(store.server.address() as AddressInfo).port}`;
        writeFileSync(path, createGatewaySettings({ caller, readiness, peer, metrics, store: storeAddress }));
        gateway = spawn(process.execPath, [GATEWAY_SCRIPT], { env: { ...process.env, MEDLARLB_CONFIG: path }, stdio: ["ignore", "pipe", "inherit"] });
        const hasRetryTokens = readLog ? watchRetryTokens(gateway.stdout) : () => true;
        await waitFor("the gateway is ready", async () => {
            const res = await request(`http://${readiness}/`).catch(() => undefined);
            await res?.body.dump();
            return res?.statusCode === 200;
        });
        await waitFor("the gateway forwards to its targets", async () => (await sendRequest("GET", "/safe/ready")).status === 200);
        await waitFor("the gateway has its part of the retry budget", hasRetryTokens);
        engines.forEach(engine => engine.runs.splice(0));
    };

    /** Sends a request to the gateway. A response whose connection breaks gets the text "cut". */
    const sendRequest = async (method: "GET" | "POST", path: string, { body = "", host = ROUTE_HOST, headers = {}, to = caller }: SendOptions = {}) => {
        sequence += 1;
        const res = await request(`http://${to}${path}`, {
            method,
            headers: { host, "x-request-id": `r${sequence}`, "x-deadline-ms": "2000", ...headers },
            ...(body === "" ? {} : { body }),
        });
        const text = await res.body.text().catch(() => "cut");
        return { status: res.statusCode, text, headers: res.headers, id: `r${sequence}` };
    };

    const countRuns = (): number => engines.reduce((sum, engine) => sum + engine.runs.length, 0);

    before(async () => {
        await listenOnFreePort(store.server);
        store.put("op/config", JSON.stringify(createOperatorConfig(3)));
        for (const engine of engines) {
            registerEngine(engine.id, await listenOnFreePort(engine.server));
        }
        await startGateway(true);
    });

    beforeEach(() => {
        engines.forEach(engine => {
            engine.setBehavior("normal");
            engine.runs.splice(0);
        });
    });

    after(async () => {
        gateway.kill("SIGKILL");
        [...engines, ...extraEngines].forEach(engine => engine.close());
        store.close();
        rmSync(folder, { recursive: true, force: true });
    });

    it("passes a request to a target and the target's answer to the caller without changing either", async () => {
        const res = await sendRequest("POST", "/unsafe/a%20b?x=1", { body: "{\"opaque\":true}" });
        expect(res.status).to.equal(200);
        expect(res.text).to.match(/^answer of e[12]$/);
        expect(res.headers["x-response-stamp"]).to.match(/^stamp-e/);
        const run = engines.flatMap(engine => engine.runs)[0];
        expect(run).to.deep.equal({ requestId: res.id, method: "POST", path: "/unsafe/a%20b?x=1", body: "{\"opaque\":true}" });
    });

    it("responds 404 if no route matches, 431 if the headers are too large and 413 if the body is too large", async () => {
        expect((await sendRequest("GET", "/safe/x", { host: "other.example" })).status).to.equal(404);
        expect((await sendRequest("GET", "/safe/x", { headers: { "x-long": "x".repeat(5_000) } })).status).to.equal(431);
        expect((await sendRequest("POST", "/unsafe/x", { body: "x".repeat(10_001) })).status).to.equal(413);
        expect(countRuns()).to.equal(0);
    });

    it("sends a request that one target refused to another target", async () => {
        engines[0]?.setBehavior("full");
        const answers = await Promise.all(Array.from({ length: 6 }, () => sendRequest("POST", "/unsafe/x", { body: "x" })));
        expect(answers.map(each => each.status)).to.deep.equal([200, 200, 200, 200, 200, 200]);
        expect(countRuns()).to.equal(6);
    });

    it("responds 502 and doesn't send a request on an unsafe route again if a target may have run it", async () => {
        engines.forEach(engine => engine.setBehavior("cut"));
        const res = await sendRequest("POST", "/unsafe/x", { body: "x" });
        expect(res.status).to.equal(502);
        expect(countRuns()).to.equal(1);
    });

    it("sends a request on a safe route to another target after a failure, and passes on the failure response if that target fails too", async () => {
        engines[0]?.setBehavior("cut");
        const answers = await Promise.all(Array.from({ length: 4 }, () => sendRequest("GET", "/safe/x")));
        expect(answers.map(each => each.status)).to.deep.equal([200, 200, 200, 200]);
        engines.forEach(engine => engine.setBehavior("failing"));
        const failed = await sendRequest("GET", "/safe/x");
        expect(failed).to.deep.include({ status: 500, text: "broken" });
        expect(failed.headers["x-response-stamp"]).to.match(/^stamp-e/);
    });

    it("responds 504 if the own answer hasn't followed one with the id of another request by the deadline", async () => {
        engines.forEach(engine => engine.setBehavior("other"));
        expect({ status: (await sendRequest("POST", "/unsafe/x", { body: "x" })).status, runs: countRuns() }).to.deep.equal({ status: 504, runs: 1 });
    });

    it("passes on all events of a stream, and breaks the caller's connection if the target breaks the stream", async () => {
        const whole = await sendRequest("POST", "/stream/x", { body: "x" });
        expect(whole.text.match(/data: event \d/g)).to.have.length(5);
        engines.forEach(engine => engine.setBehavior("cutStream"));
        expect((await sendRequest("POST", "/stream/x", { body: "x" })).text).to.equal("cut");
        expect(countRuns()).to.equal(2);
    });

    it("continues a broken resumable stream on another target after the last complete event", async () => {
        engines[0]?.setBehavior("cutStream");
        const streams = await Promise.all(Array.from({ length: 4 }, () => sendRequest("POST", "/stream/again/x", { body: "x" })));
        for (const { text } of streams) {
            expect(text.match(/id: \d/g)).to.deep.equal(["id: 1", "id: 2", "id: 3", "id: 4", "id: 5"]);
        }
    });

    it("breaks the caller's connection if the target that should continue a stream responds with an error", async () => {
        engines.forEach(engine => engine.setBehavior("failingResume"));
        const { status, text } = await sendRequest("POST", "/stream/again/x", { body: "x" });
        expect({ status, text }).to.deep.equal({ status: 200, text: "cut" });
        expect(countRuns()).to.equal(2);
    });

    it("keeps its configuration if a new configuration document is invalid, and applies the next valid one", async () => {
        store.put("op/config", "{\"version\": 4");
        store.put("servers/broken", "not an entry");
        await new Promise(resolve => setTimeout(resolve, 600));
        expect((await sendRequest("GET", "/safe/x")).status).to.equal(200);
        store.put("op/config", JSON.stringify({ ...createOperatorConfig(9), routes: createOperatorConfig(9).routes.slice(1) }));
        await waitFor("the route is gone", async () => (await sendRequest("GET", "/safe/x")).status === 404);
        store.put("op/config", JSON.stringify(createOperatorConfig(12)));
        await waitFor("the route is back", async () => (await sendRequest("GET", "/safe/x")).status === 200);
    });

    it("sends no new requests to a target whose entry in the store says that it is draining", async () => {
        const address = `127.0.0.1:${(engines[0]?.server.address() as AddressInfo).port}`;
        registerEngine("e1", address, "draining");
        await waitFor("only e2 answers", async () => (await sendRequest("GET", "/safe/x")).text === "answer of e2");
        engines[0]?.runs.splice(0);
        await Promise.all(Array.from({ length: 10 }, () => sendRequest("GET", "/safe/x")));
        expect(engines[0]?.runs).to.deep.equal([]);
        registerEngine("e1", address, "ready", "s", 2);
        await waitFor("a new start of e1 answers, while one that leaves stays out", async () => (await sendRequest("GET", "/safe/x")).text === "answer of e1");
    });

    it("serves its counters in text form at /metrics", async () => {
        expect(await (await request(`http://${metrics}/metrics`)).body.text()).to.match(/medlarlb_answers_total\{status="200",by="target"\} \d+/);
    });

    /** Starts another gateway on free ports. Without a store address it can't reach the store. */
    const startSecondGateway = async (storeAddress?: string): Promise<{ child: ChildProcess; caller: string }> => {
        const addresses = await Promise.all(Array.from({ length: 5 }, findFreePort));
        const [ownCaller = "", ownReadiness = "", ownPeer = "", ownMetrics = "", dead = ""] = addresses.map(port => `127.0.0.1:${port}`);
        const path = join(folder, `${ownPeer}.ini`);
        const storeToUse = storeAddress ?? dead;
        const ownAddresses = { caller: ownCaller, readiness: ownReadiness, peer: ownPeer, metrics: ownMetrics, store: storeToUse };
        writeFileSync(path, createGatewaySettings(ownAddresses, peer));
        const env = { ...process.env, MEDLARLB_CONFIG: path };
        const child = spawn(process.execPath, [GATEWAY_SCRIPT], { env, stdio: ["ignore", "ignore", "inherit"] });
        return { child, caller: ownCaller };
    };

    it("starts with the configuration of another instance if the metadata store doesn't respond", async () => {
        const second = await startSecondGateway();
        try {
            await waitForAnswer(second.caller, "/safe/x");
        }
        finally {
            second.child.kill("SIGKILL");
        }
    });

    it("sends a request under which two targets have ended to no other target, from another instance neither", async () => {
        const ending = ["e3", "e4", "e5"].map(id => createUserEngineServer(id));
        extraEngines.push(...ending);
        for (const engine of ending) {
            registerEngine(engine.id, await listenOnFreePort(engine.server), "ready", "other");
            engine.setBehavior("ending");
        }
        const second = await startSecondGateway(`127.0.0.1:${(store.server.address() as AddressInfo).port}`);
        try {
            await waitForAnswer(caller, "/other/x");
            await waitForAnswer(second.caller, "/other/x");
            expect((await sendRequest("GET", "/other/crash")).status).to.equal(502);
            expect((await sendRequest("GET", "/other/crash")).status).to.equal(502);
            const isUp = ending.map(engine => engine.server.listening);
            expect(isUp.filter(Boolean)).to.have.length(1);
            const refusals = [await sendRequest("GET", "/other/crash"), await sendRequest("GET", "/other/crash", { to: second.caller })];
            expect(refusals.map(each => each.status)).to.deep.equal([503, 503]);
            expect(refusals.every(each => each.text.includes("targets have ended while they ran this request"))).to.equal(true);
            expect(ending.map(engine => engine.server.listening)).to.deep.equal(isUp);
            expect((await sendRequest("GET", "/other/y", { to: second.caller })).status).to.equal(200);
        }
        finally {
            second.child.kill("SIGKILL");
            ending.forEach(engine => store.put(`servers/${engine.id}`, "{}"));
        }
    });

    it("keeps the requests to a target within the limit that its answers name, from two instances together", async () => {
        const limitPerSecond = 2;
        const second = await startSecondGateway(`127.0.0.1:${(store.server.address() as AddressInfo).port}`);
        try {
            await waitForAnswer(second.caller, "/safe/x");
            const sendAll = async (seconds: number): Promise<void> => {
                for (let round = 0; round < seconds * 10; round += 1) {
                    const answers = await Promise.all([caller, second.caller].map(to => sendRequest("GET", "/safe/x", { to })));
                    expect(answers.map(each => each.status)).to.deep.equal([200, 200]);
                    await new Promise(resolve => setTimeout(resolve, 90));
                }
            };
            // A target that seems slow isn't preferred, and the pace that an instance assumes at first fades with a half-life of 3 s.
            for (let second = 0; second < 25 && (second < 12 || (engines[0]?.runs.splice(0).length ?? 0) < 5); second += 1) {
                await sendAll(1);
            }
            engines[0]?.setLimit(limitPerSecond);
            await sendAll(3);
            engines[0]?.runs.splice(0);
            await sendAll(4);
            // The users allow one and a half times the limit, and five requests more, in four seconds.
            expect(engines[0]?.runs.length).to.be.within(1, limitPerSecond * 4 * 1.5 + 5);
        }
        finally {
            second.child.kill("SIGKILL");
            engines[0]?.setLimit(undefined);
        }
    }).timeout(60_000);

    it("sends a target no requests while it has asked for a pause, or once it says that it leaves", async () => {
        const [pausing, other] = [createUserEngineServer("e6"), createUserEngineServer("e7")];
        extraEngines.push(pausing, other);
        for (const engine of [pausing, other]) {
            registerEngine(engine.id, await listenOnFreePort(engine.server), "ready", "other");
        }
        await waitFor("both targets are used", async () => (await sendRequest("GET", "/other/x")).status === 200 && pausing.runs.length > 0);
        pausing.setBehavior("pausing");
        const sendAll = async (): Promise<void> => {
            const answers = await Promise.all(Array.from({ length: 20 }, () => sendRequest("GET", "/other/x")));
            expect(answers.every(each => each.status === 200)).to.equal(true);
        };
        await sendAll();
        const refusals = pausing.refusals();
        await sendAll();
        expect(pausing.refusals()).to.equal(refusals).and.above(0);
        // The other one leaves, so that only a new start of it counts.
        pausing.setBehavior("normal");
        other.setBehavior("leaving");
        await waitFor("the target has said that it leaves", async () => (await sendRequest("GET", "/other/x")).status === 503);
        registerEngine(other.id, `127.0.0.1:${(other.server.address() as AddressInfo).port}`, "ready", "other");
        const runs = other.runs.length;
        await new Promise(resolve => setTimeout(resolve, 600));
        expect((await sendRequest("GET", "/other/x")).status).to.equal(503);
        expect(other.runs).to.have.length(runs);
    });

    it("finishes its open streams after SIGTERM, responds 503 to readiness checks meanwhile and exits with code 0", async () => {
        const stream = sendRequest("POST", "/stream/x", { body: "x" });
        await waitFor("the stream has started", async () => countRuns() > 0);
        gateway.kill("SIGTERM");
        await waitFor("the gateway isn't ready", async () => {
            const res = await request(`http://${readiness}/`);
            await res.body.dump();
            return res.statusCode === 503;
        });
        expect((await stream).text.match(/data: event \d/g)).to.have.length(5);
        const [code] = await once(gateway, "exit");
        expect(code).to.equal(0);
    });

    it("continues to answer requests if no process reads its log", async () => {
        await startGateway(false);
        for (let round = 0; round < 40; round += 1) {
            const answers = await Promise.all(Array.from({ length: 20 }, () => sendRequest("GET", "/safe/x")));
            expect(answers.every(each => each.status === 200), `round ${round}`).to.equal(true);
        }
    });
});
