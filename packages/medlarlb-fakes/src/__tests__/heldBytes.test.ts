import { setTimeout as sleep } from "node:timers/promises";
import { expect } from "chai";
import { findFreePort } from "../cluster/findFreePort.js";
import { createMetadataStoreServer } from "../site/createMetadataStoreServer.js";
import { createUserEngineServer } from "../site/createUserEngineServer.js";
import { createHoldingProxy } from "./support/createHoldingProxy.js";
import { createOperatorConfig } from "./support/createOperatorConfig.js";
import { createStreamCaller } from "./support/createStreamCaller.js";
import { createTcpRelay } from "./support/createTcpRelay.js";
import { listenOnFreePort } from "./support/listenOnFreePort.js";
import { startGatewayProcess } from "./support/startGatewayProcess.js";
import { startRerouted } from "./support/startRerouted.js";
import { waitForAnswer } from "./support/waitForAnswer.js";
import { writeVersionEntry } from "./support/writeVersionEntry.js";

const EVENT_COUNT = 12;
const BEGUN_EVENTS = 4;
const STREAMS = 35;
const STREAM_PAUSE_MS = 100;
const ROUTE_TIMEOUT_MS = 1_000;
/** Time in ms beyond a route's time-out in which a caller may take a stream up. */
const TAKE_UP_MARGIN_MS = 10_000;
/** Time in ms by which changes of entries are known. */
const KNOWN_MS = 1_000;
/** Time in ms for which bytes are held back while the first streams are taken up. */
const HELD_MS = 2_000;
/** Time in ms by which bytes come late. */
const LATE_MS = 1_500;
/** Longest time in ms until a take-up whose version isn't proved is refused, and what the processes of a test need beside. */
const REFUSED_MS = 800;
const OVERHEAD_MS = 200;
const OK_STATUS = 200;
const NOT_RUN_STATUS = 503;

describe("Two gateway processes, of which one follows the other, while bytes between them are held back", () => {
    const store = createMetadataStoreServer();
    const caller = createStreamCaller("/stream/again/x");
    const engines = ["v1", "v2"].map((softwareVersion, index) =>
        createUserEngineServer(`e${index}`, { softwareVersion, eventCount: EVENT_COUNT, eventIntervalMs: 20 }));
    const addresses: string[] = [];
    const closers: (() => void)[] = [];
    let setStoreCut: (isCut: boolean) => void = () => undefined;
    /** Callers' addresses of the watcher and of the follower, and the proxies before the peer address of each. */
    const callers: string[] = [];
    const proxies: Awaited<ReturnType<typeof createHoldingProxy>>[] = [];

    /** Has one engine be the only one that the store lists. */
    const listOnly = (index: number, version: string): void => {
        writeVersionEntry(store, { id: `e${index}`, address: addresses[index], version, born: 1 });
        store.remove(`servers/e${1 - index}`);
    };

    /** Plays streams that begin at one process and are taken up at the other, each a little later than the one before. */
    const playAll = (begunAt: number, takenUpAt: number) => Promise.all(Array.from({ length: STREAMS }, async (_, index) => {
        await sleep(index * STREAM_PAUSE_MS);
        const begun = await caller.begin(callers[begunAt] ?? "", BEGUN_EVENTS);
        const startedAtMs = performance.now();
        const taken = await caller.takeUp(callers[takenUpAt] ?? "", [begun]);
        return { parts: [begun, taken], version: begun.events[0]?.version, status: taken.status, tookMs: performance.now() - startedAtMs };
    }));

    /** Checks that no stream is mixed, that each goes on or is refused in time, and that those go on that begin after the bytes came. */
    const checkStreams = (streams: Awaited<ReturnType<typeof playAll>>, version: string): void => {
        expect(streams.filter(({ parts }) => caller.isMixed(parts)).length, "mixed streams").to.equal(0);
        const refused = streams.filter(each => each.status !== OK_STATUS);
        expect(refused.map(each => each.status)).to.deep.equal(refused.map(() => NOT_RUN_STATUS));
        expect(Math.max(0, ...refused.map(each => each.tookMs)), "ms until the last refusal").to.be.below(REFUSED_MS + OVERHEAD_MS);
        expect(streams.filter(each => each.version === version).length, "streams of the new version").to.be.above(STREAMS / 2);
        const latest = streams.slice((HELD_MS + KNOWN_MS) / STREAM_PAUSE_MS);
        expect(latest.filter(({ parts }) => caller.isWhole(parts, EVENT_COUNT)).length, "later streams that went on").to.equal(latest.length);
    };

    before(async () => {
        const storeAddress = await listenOnFreePort(store.server);
        const relay = await createTcpRelay(storeAddress);
        setStoreCut = relay.setCut;
        const config = createOperatorConfig(4);
        store.put("op/config", JSON.stringify({ ...config, routes: config.routes.map(route => ({ ...route, timeout_ms: ROUTE_TIMEOUT_MS })) }));
        for (const engine of engines) {
            addresses.push(await listenOnFreePort(engine.server));
            closers.push(engine.close);
        }
        listOnly(0, "v1");
        const findAddress = async (): Promise<string> => `127.0.0.1:${await findFreePort()}`;
        const findAddresses = async () =>
            ({ caller: await findAddress(), readiness: await findAddress(), metrics: await findAddress(), peer: await findAddress() });
        const [watcher, follower] = [await findAddresses(), await findAddresses()];
        callers.push(watcher.caller, follower.caller);
        const [toWatcher, toFollower] = [await createHoldingProxy(watcher.peer), await createHoldingProxy(follower.peer)];
        proxies.push(toWatcher, toFollower);
        closers.push(relay.close, toWatcher.close, toFollower.close);
        closers.push((await startRerouted(follower.peer, toFollower.address, () =>
            startGatewayProcess(storeAddress, { ended: watcher }))).stop);
        closers.push((await startRerouted(watcher.peer, toWatcher.address, () =>
            startGatewayProcess(relay.address, { ended: follower, seeds: watcher.peer }))).stop);
        await Promise.all(callers.map(address => waitForAnswer(address, "/safe/x")));
        await sleep(ROUTE_TIMEOUT_MS + TAKE_UP_MARGIN_MS + KNOWN_MS);
    });

    after(() => {
        closers.reverse().forEach(close => close());
        store.close();
    });

    for (const { what, to, isStoreCut, engine, delayMs } of [
        // While the list shows one version, messages that come late must not prove it.
        { what: "bytes to the follower, which is cut off from the store, come late", to: 1, isStoreCut: true, engine: 1, delayMs: LATE_MS },
        { what: "bytes to the follower are held back", to: 1, isStoreCut: false, engine: 0, delayMs: Number.POSITIVE_INFINITY },
        { what: "bytes to the watcher are held back", to: 0, isStoreCut: false, engine: 1, delayMs: Number.POSITIVE_INFINITY },
    ]) {
        it(`join no events of two versions in streams taken up while ${what} and a version joins`, async () => {
            const proxy = proxies[to];
            const heldBefore = proxy?.heldBytes() ?? 0;
            const version = engine === 0 ? "v1" : "v2";
            proxy?.setDelay(delayMs);
            await sleep(Number.isFinite(delayMs) ? delayMs : 0);
            setStoreCut(isStoreCut);
            listOnly(engine, version);
            const playing = playAll(1 - to, to);
            await sleep(HELD_MS);
            proxy?.setDelay(0);
            setStoreCut(false);
            const streams = await playing;
            expect((proxy?.heldBytes() ?? 0) - heldBefore, "held bytes").to.be.above(0);
            checkStreams(streams, version);
        }).timeout(10_000);
    }
});
