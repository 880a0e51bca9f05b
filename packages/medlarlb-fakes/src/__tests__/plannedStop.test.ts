import type { AddressInfo } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { expect } from "chai";
import { request } from "undici";
import { waitFor } from "../cluster/waitFor.js";
import { createMetadataStoreServer } from "../site/createMetadataStoreServer.js";
import { createUserEngineServer } from "../site/createUserEngineServer.js";
import { createOperatorConfig } from "./support/createOperatorConfig.js";
import { createRawCaller } from "./support/createRawCaller.js";
import { listenOnFreePort } from "./support/listenOnFreePort.js";
import { startGatewayProcess } from "./support/startGatewayProcess.js";

const ROUTE_HOST = "site.example";
/** The platform kills a process that hasn't ended this time in ms after the signal. */
const KILL_AFTER_MS = 8_000;
/** Time in ms after the signal at which the listening socket is still open, shortly before it closes. */
const BEFORE_CLOSE_MS = 2_300;
const STOPS = 3;
const KEPT_CALLERS = 12;
const NEW_CALLERS = 12;
/** Mean pause in ms between the requests of a caller, which makes about 200 requests a second of all. */
const MEAN_PAUSE_MS = 90;

describe("A gateway process that is asked to stop", () => {
    const store = createMetadataStoreServer();
    const engine = createUserEngineServer("e1", { eventCount: 8, eventIntervalMs: 50 });
    const gateways: Awaited<ReturnType<typeof startGatewayProcess>>[] = [];
    const callers: ReturnType<typeof createRawCaller>[] = [];
    let sequence = 0;

    before(async () => {
        await listenOnFreePort(store.server);
        store.put("op/config", JSON.stringify(createOperatorConfig(3)));
        const address = await listenOnFreePort(engine.server);
        store.put("servers/e1", JSON.stringify({ service: "s", address, zone: "a", version: "v1", slots: 64, state: "ready", models: [], seq: 1 }));
    });

    afterEach(() => {
        callers.splice(0).forEach(caller => caller.close());
        gateways.splice(0).forEach(gateway => gateway.stop());
    });

    after(() => {
        engine.close();
        store.close();
    });

    const start = async () => {
        const gateway = await startGatewayProcess(`127.0.0.1:${(store.server.address() as AddressInfo).port}`);
        gateways.push(gateway);
        await waitFor("the gateway forwards to its target", async () => {
            const res = await request(`http://${gateway.caller}/safe/x`, { headers: { "host": ROUTE_HOST, "x-request-id": "ready" } });
            await res.body.dump();
            return res.statusCode === 200;
        });
        return gateway;
    };

    const open = async (address: string) => {
        const caller = createRawCaller(address, ROUTE_HOST);
        callers.push(caller);
        await caller.opened();
        return caller;
    };

    const nextId = (): string => {
        sequence += 1;
        return `r${sequence}`;
    };

    it("closes the connection of an answer that was due at the signal, and says so in it", async () => {
        const gateway = await start();
        const caller = await open(gateway.caller);
        engine.setDelay(400);
        caller.write("GET", "/safe/x", nextId());
        await sleep(150);
        const ended = gateway.terminate();
        expect(await caller.readAnswer()).to.deep.equal({ status: 200, closes: true, failure: undefined });
        engine.setDelay(0);
        expect(await ended).to.be.below(KILL_AFTER_MS);
    }).timeout(30_000);

    it("answers the request that follows, on its connection, an answer whose headers were sent before the signal", async () => {
        const gateway = await start();
        const caller = await open(gateway.caller);
        caller.write("POST", "/stream/x", nextId());
        await caller.readSome();
        const ended = gateway.terminate();
        expect(await caller.readAnswer()).to.deep.include({ status: 200, closes: false });
        caller.write("GET", "/safe/x", nextId());
        expect(await caller.readAnswer()).to.deep.equal({ status: 200, closes: true, failure: undefined });
        expect(await ended).to.be.below(KILL_AFTER_MS);
    }).timeout(30_000);

    it("answers a request that arrives on a kept connection while it is being closed", async () => {
        const gateway = await start();
        const kept = await Promise.all(Array.from({ length: 8 }, () => open(gateway.caller)));
        for (const caller of kept) {
            caller.write("GET", "/safe/x", nextId());
            expect(await caller.readAnswer()).to.deep.include({ status: 200, closes: false });
        }
        const ended = gateway.terminate();
        // The request is written when the first sign of the end arrives, as late as a caller can be that hasn't seen it.
        const answers = await Promise.all(kept.map(async (caller, index) => {
            await caller.readSome();
            await sleep(index * 10);
            caller.write("GET", "/safe/x", nextId());
            return caller.readAnswer();
        }));
        for (const { status, closes, failure } of answers) {
            // 408 says that the request has not run and that the connection was about to close.
            expect({ status, closes, failure }).to.deep.equal({ status: 408, closes: true, failure: undefined });
        }
        expect(await ended).to.be.below(KILL_AFTER_MS);
    }).timeout(30_000);

    it("answers the requests on all connections that wait in the kernel when the listening socket would close", async () => {
        const gateway = await start();
        const ended = gateway.terminate();
        await sleep(BEFORE_CLOSE_MS);
        // While the process stands still, the kernel accepts connections for it, and the time to close passes.
        gateway.freeze();
        const waiting = await Promise.all(Array.from({ length: 30 }, () => open(gateway.caller)));
        waiting.forEach(caller => caller.write("GET", "/safe/x", nextId()));
        await sleep(500);
        gateway.resume();
        const answers = await Promise.all(waiting.map(caller => caller.readAnswer()));
        expect(answers.filter(each => each.failure !== undefined)).to.deep.equal([]);
        expect(answers.every(each => each.closes)).to.equal(true);
        expect(await ended).to.be.below(KILL_AFTER_MS);
    }).timeout(30_000);

    it("ends no accepted request without an answer under load from callers that don't check readiness", async () => {
        const outcomes: { kind: string; failure: string | undefined; sinceSignalMs: number }[] = [];
        let answered = 0;
        for (let stop = 0; stop < STOPS; stop += 1) {
            const gateway = await start();
            let signalAtMs = Number.POSITIVE_INFINITY;
            let isRunning = true;
            const record = (kind: string, failure: string | undefined): void => {
                answered += failure === undefined ? 1 : 0;
                if (failure === "broken") {
                    outcomes.push({ kind, failure, sinceSignalMs: Math.round(performance.now() - signalAtMs) });
                }
            };
            const pause = (): Promise<void> => sleep(Math.random() * 2 * MEAN_PAUSE_MS);
            const sendOnNew = async (): Promise<void> => {
                while (isRunning) {
                    const caller = createRawCaller(gateway.caller, ROUTE_HOST);
                    caller.write("GET", "/safe/x", nextId());
                    record("new", (await caller.readAnswer()).failure);
                    caller.close();
                    await pause();
                }
            };
            const sendOnKept = async (): Promise<void> => {
                let caller = createRawCaller(gateway.caller, ROUTE_HOST);
                while (isRunning) {
                    if (caller.isEnded()) {
                        caller.close();
                        caller = createRawCaller(gateway.caller, ROUTE_HOST);
                    }
                    caller.write("GET", "/safe/x", nextId());
                    const { closes, failure } = await caller.readAnswer();
                    record("kept", failure);
                    if (closes) {
                        caller.close();
                        caller = createRawCaller(gateway.caller, ROUTE_HOST);
                    }
                    await pause();
                }
                caller.close();
            };
            const load = [...Array.from({ length: NEW_CALLERS }, sendOnNew), ...Array.from({ length: KEPT_CALLERS }, sendOnKept)];
            await sleep(700);
            signalAtMs = performance.now();
            expect(await gateway.terminate()).to.be.below(KILL_AFTER_MS);
            isRunning = false;
            await Promise.all(load);
        }
        expect(answered).to.be.above(200);
        expect(outcomes).to.deep.equal([]);
    }).timeout(60_000);
});
