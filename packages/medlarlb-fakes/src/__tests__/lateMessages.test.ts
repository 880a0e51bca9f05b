import { setTimeout as sleep } from "node:timers/promises";
import { expect } from "chai";
import { storeEras } from "medlarlb-types/storeEras";
import { createMetadataStoreServer } from "../site/createMetadataStoreServer.js";
import { createUserEngineServer } from "../site/createUserEngineServer.js";
import { createOperatorConfig } from "./support/createOperatorConfig.js";
import { createPeerStandIn } from "./support/createPeerStandIn.js";
import { createStreamCaller } from "./support/createStreamCaller.js";
import { createTcpRelay } from "./support/createTcpRelay.js";
import { listenOnFreePort } from "./support/listenOnFreePort.js";
import { startGatewayProcess } from "./support/startGatewayProcess.js";
import { waitForAnswer } from "./support/waitForAnswer.js";
import { writeVersionEntry } from "./support/writeVersionEntry.js";

const EVENT_COUNT = 12;
const STREAMS = 20;
const ROUTE_TIMEOUT_MS = 1_000;
/** Time in ms beyond a route's time-out in which a caller may take a stream up. */
const TAKE_UP_MARGIN_MS = 10_000;
/** Time in ms by which changes of entries are known. */
const KNOWN_MS = 1_000;
/** Longest time in ms until a take-up whose version isn't proved is refused, and what the processes of a test need beside. */
const REFUSED_MS = 800;
const OVERHEAD_MS = 200;
const STREAM_PAUSE_MS = 50;
/** Number of late messages, which arrive while the streams are taken up. */
const LATE_MESSAGES = 40;
const LATE_MESSAGE_PAUSE_MS = 50;
const NOT_RUN_STATUS = 503;

describe("Two gateway processes, of which one follows the other, and callers that take up streams of which neither knows", () => {
    const store = createMetadataStoreServer();
    /** Store of a third process, which begins the streams as one that is cut off from the other two. */
    const otherStore = createMetadataStoreServer();
    const caller = createStreamCaller("/stream/again/x");
    const engines = ["v1", "v2"].map((softwareVersion, index) =>
        createUserEngineServer(`e${index}`, { softwareVersion, eventCount: EVENT_COUNT, eventIntervalMs: 20 }));
    const config = createOperatorConfig(4);
    const configText = JSON.stringify({ ...config, routes: config.routes.map(route => ({ ...route, timeout_ms: ROUTE_TIMEOUT_MS })) });
    const addresses: string[] = [];
    const gateways: Awaited<ReturnType<typeof startGatewayProcess>>[] = [];
    let other: (typeof gateways)[number] | undefined;
    let relay: Awaited<ReturnType<typeof createTcpRelay>> | undefined;

    const writeEntry = (to: typeof store, index: number, version: string): void =>
        writeVersionEntry(to, { id: `e${index}`, address: addresses[index], version, born: 1 });

    /** Begins streams at the third process, and takes each up at another one a little later than the one before. */
    const playAll = (gateway: string) => Promise.all(Array.from({ length: STREAMS }, async (_, index) => {
        const begun = await caller.begin(other?.caller ?? "", 4);
        await sleep(index * STREAM_PAUSE_MS);
        const startedAtMs = performance.now();
        const taken = await caller.takeUp(gateway, [begun]);
        return { parts: [begun, taken], status: taken.status, tookMs: performance.now() - startedAtMs };
    }));

    before(async () => {
        const storeAddress = await listenOnFreePort(store.server);
        relay = await createTcpRelay(storeAddress);
        const otherAddress = await listenOnFreePort(otherStore.server);
        [store, otherStore].forEach(each => each.put("op/config", configText));
        for (const engine of engines) {
            addresses.push(await listenOnFreePort(engine.server));
        }
        [store, otherStore].forEach(each => writeEntry(each, 0, "v1"));
        other = await startGatewayProcess(otherAddress);
        const first = await startGatewayProcess(storeAddress);
        gateways.push(first, await startGatewayProcess(relay.address, { seeds: first.peer }));
        await Promise.all([other, ...gateways].map(each => waitForAnswer(each.caller, "/safe/x")));
        await sleep(ROUTE_TIMEOUT_MS + TAKE_UP_MARGIN_MS + KNOWN_MS);
    });

    after(() => {
        [other, ...gateways].forEach(gateway => gateway?.stop());
        relay?.close();
        engines.forEach(engine => engine.close());
        store.close();
        otherStore.close();
    });

    it("let the streams go on while the list shows one version only", async () => {
        for (const { caller: address } of gateways) {
            const streams = await playAll(address);
            expect(streams.filter(({ parts }) => caller.isWhole(parts, EVENT_COUNT)).length, "streams that went on").to.equal(STREAMS);
        }
    }).timeout(10_000);

    // ORDER: the age of a message was taken for that of its contents, however long the message was on its way.
    it("join no events of two versions at an instance that is cut off from the store while messages to it are held up", async () => {
        const follower = gateways[1];
        const standIn = await createPeerStandIn({ configVersion: 4, configText });
        try {
            standIn.know(follower?.peer ?? "");
            gateways[0]?.stop();
            relay?.setCut(true);
            await sleep(KNOWN_MS);
            const revision = storeEras.join(1, 1);
            const changes = { after: revision, revision, items: [], contactAgeMs: 0, readAgeMs: 5, outageEndedAgoMs: undefined };
            [store, otherStore].forEach(each => writeEntry(each, 1, "v2"));
            otherStore.remove("servers/e0");
            await sleep(KNOWN_MS);
            const playing = playAll(follower?.caller ?? "");
            // Sent before the entry of the new version was written, and held up since.
            for (let sent = 0; sent < LATE_MESSAGES; sent += 1) {
                await sleep(LATE_MESSAGE_PAUSE_MS);
                standIn.send(follower?.peer ?? "", { kind: "directoryChange", changes });
            }
            const streams = await playing;
            expect(streams.filter(({ parts }) => caller.isMixed(parts)).length, "mixed streams").to.equal(0);
            expect(streams.map(each => each.status)).to.deep.equal(streams.map(() => NOT_RUN_STATUS));
            expect(Math.max(...streams.map(each => each.tookMs)), "ms until the last answer").to.be.below(REFUSED_MS + OVERHEAD_MS);
        }
        finally {
            standIn.close();
        }
    }).timeout(10_000);
});
