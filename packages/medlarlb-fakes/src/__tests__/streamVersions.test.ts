import { setTimeout as sleep } from "node:timers/promises";
import { expect } from "chai";
import { createMetadataStoreServer } from "../site/createMetadataStoreServer.js";
import { createUserEngineServer } from "../site/createUserEngineServer.js";
import { createOperatorConfig } from "./support/createOperatorConfig.js";
import { createStreamCaller } from "./support/createStreamCaller.js";
import { listenOnFreePort } from "./support/listenOnFreePort.js";
import { startGatewayProcess } from "./support/startGatewayProcess.js";
import { waitForAnswer } from "./support/waitForAnswer.js";
import { writeVersionEntry } from "./support/writeVersionEntry.js";

const EVENT_COUNT = 12;
const EVENT_INTERVAL_MS = 40;
const STREAMS = 40;
/** Pause in ms between streams, so that their engines differ. */
const STREAM_PAUSE_MS = 20;
/** Time in ms by which changes of entries are known. */
const KNOWN_MS = 1_000;
const NOT_RUN_STATUS = 503;
/** Latest time in ms after a start of all instances at which a caller takes its stream up: later than its route's time-out of 6 s. */
const LATEST_TAKE_UP_MS = 12_000;

type Parts = Awaited<ReturnType<ReturnType<typeof createStreamCaller>["begin"]>>[];

describe("Two gateway processes before engines of two software versions", () => {
    const store = createMetadataStoreServer();
    const caller = createStreamCaller("/stream/again/x");
    const engines = ["v1", "v2", "v1", "v2", "v1", "v2"].map((softwareVersion, index) =>
        createUserEngineServer(`e${index}`, { softwareVersion, eventCount: EVENT_COUNT, eventIntervalMs: EVENT_INTERVAL_MS }));
    const addresses: string[] = [];
    const gateways: Awaited<ReturnType<typeof startGatewayProcess>>[] = [];
    let storeAddress = "";
    let incarnation = 0;

    const writeEntry = (index: number, version: string): void =>
        writeVersionEntry(store, { id: `e${index}`, address: addresses[index], version, born: incarnation });

    const addressOf = (gateway: number): string => gateways[gateway % gateways.length]?.caller ?? "";

    const startGateway = async (): Promise<void> => {
        const gateway = await startGatewayProcess(storeAddress);
        gateways.push(gateway);
        await waitForAnswer(gateway.caller, "/safe/x");
    };

    /** Plays streams at the same time, each begun a little later than the one before. */
    const playAll = (play: (index: number) => Promise<Parts>): Promise<Parts[]> =>
        Promise.all(Array.from({ length: STREAMS }, async (_, index) => {
            await sleep(index * STREAM_PAUSE_MS);
            return play(index);
        }));

    const countMixed = (streams: Parts[]): number => streams.filter(caller.isMixed).length;
    const countWhole = (streams: Parts[]): number => streams.filter(parts => caller.isWhole(parts, EVENT_COUNT)).length;

    before(async () => {
        storeAddress = await listenOnFreePort(store.server);
        const config = createOperatorConfig(4);
        store.put("op/config", JSON.stringify({
            ...config,
            routes: config.routes.map(route => ("resumable" in route ? { ...route, timeout_ms: 6_000, max_attempts: 4 } : route)),
        }));
        for (const engine of engines) {
            addresses.push(await listenOnFreePort(engine.server));
        }
        engines.forEach((_, index) => writeEntry(index, index % 2 === 0 ? "v1" : "v2"));
        await startGateway();
        await startGateway();
        // An instance has its part of the retry budget one and a half windows after its start.
        await sleep(6_500);
    });

    beforeEach(async () => {
        incarnation += 1;
        engines.forEach((engine, index) => {
            engine.setBehavior("normal");
            engine.restart(index % 2 === 0 ? "v1" : "v2");
            writeEntry(index, index % 2 === 0 ? "v1" : "v2");
        });
        await sleep(KNOWN_MS);
    });

    after(() => {
        gateways.forEach(gateway => gateway.stop());
        engines.forEach(engine => engine.close());
        store.close();
    });

    it("continue a stream that its engine cuts only at the version that began it", async () => {
        engines.forEach(engine => engine.setBehavior("cutSome"));
        const streams = await playAll(async index => [await caller.begin(addressOf(index))]);
        expect(countMixed(streams)).to.equal(0);
        expect(countWhole(streams), "streams that were whole").to.be.above(STREAMS / 2);
    });

    for (const [when, events, pauseMs] of [["at once after the first event", 1, 0], ["after four events", 4, 0], ["a second later", 4, 1_000]] as const) {
        it(`continue a stream that its caller takes up at the other instance ${when} only at the version that began it`, async () => {
            const streams = await playAll(async index => {
                const first = await caller.begin(addressOf(index), events);
                await sleep(pauseMs);
                return [first, await caller.takeUp(addressOf(index + 1), [first])];
            });
            expect(countMixed(streams)).to.equal(0);
            expect(countWhole(streams), "streams that went on").to.be.above(STREAMS / 2);
        });
    }

    it("continue a stream over three tries of its caller, of which an engine cuts one, only at the version that began it", async () => {
        engines.forEach(engine => engine.setBehavior("cutSome"));
        const streams = await playAll(async index => {
            const parts = [await caller.begin(addressOf(index), 2)];
            parts.push(await caller.takeUp(addressOf(index + 1), parts, 3));
            parts.push(await caller.takeUp(addressOf(index), parts));
            return parts;
        });
        expect(countMixed(streams)).to.equal(0);
        expect(countWhole(streams), "streams that went on").to.be.above(STREAMS / 2);
    });

    it("refuse a stream at once, as not run, when no engine of the version that began it is left", async () => {
        const begun = (await playAll(async index => [await caller.begin(addressOf(index), 4)])).filter(([part]) => part?.events[0]?.version === "v1");
        [0, 2, 4].forEach(index => store.remove(`servers/e${index}`));
        await sleep(KNOWN_MS);
        const startedAtMs = performance.now();
        const parts = await Promise.all(begun.map((each, index) => caller.takeUp(addressOf(index), each)));
        expect(performance.now() - startedAtMs, "ms until the last answer").to.be.below(KNOWN_MS);
        expect(parts.map(part => part.status)).to.deep.equal(begun.map(() => NOT_RUN_STATUS));
        expect(parts[0]?.text).to.include("begin it anew");
    });

    it("continue no stream at engines that came back at the other version under their ids and addresses", async () => {
        const playing = playAll(async index => {
            const first = await caller.begin(addressOf(index));
            return caller.isWhole([first], EVENT_COUNT) ? [first] : [first, await caller.takeUp(addressOf(index + 1), [first])];
        });
        await sleep(STREAMS * STREAM_PAUSE_MS / 2);
        incarnation += 1;
        [0, 2].forEach(index => {
            engines[index]?.restart("v2");
            writeEntry(index, "v2");
        });
        expect(countMixed(await playing)).to.equal(0);
    });

    it("continue streams at the version that began them after the instance that brought their beginnings was killed", async () => {
        const begun = await playAll(async () => [await caller.begin(addressOf(0), 4)]);
        gateways.shift()?.stop();
        const streams = await Promise.all(begun.map(async parts => [...parts, await caller.takeUp(addressOf(0), parts)]));
        expect(countMixed(streams)).to.equal(0);
        expect(countWhole(streams), "streams that went on").to.be.above(STREAMS / 2);
        await startGateway();
    });

    // ORDER: an instance that had just started took the only version that it had seen for that of a stream begun before its start.
    it("join no streams from two versions after all instances were killed, whenever their callers take them up", async () => {
        const begun = await playAll(async index => [await caller.begin(addressOf(index), 4)]);
        expect(new Set(begun.flatMap(([part]) => part?.events.map(event => event.version) ?? [])).size, "versions that began streams").to.equal(2);
        [0, 2, 4].forEach(index => store.remove(`servers/e${index}`));
        gateways.splice(0).forEach(gateway => gateway.stop());
        await startGateway();
        await startGateway();
        const streams = await Promise.all(begun.map(async (parts, index) => {
            await sleep(index * LATEST_TAKE_UP_MS / STREAMS);
            return [...parts, await caller.takeUp(addressOf(index), parts)];
        }));
        expect(countMixed(streams)).to.equal(0);
    }).timeout(60_000);
});
