import { setTimeout as sleep } from "node:timers/promises";
import { expect } from "chai";
import { request } from "undici";
import { waitFor } from "../cluster/waitFor.js";
import { createCopyingEngineServer } from "../site/createCopyingEngineServer.js";
import { createMetadataStoreServer } from "../site/createMetadataStoreServer.js";
import { listenOnFreePort } from "./support/listenOnFreePort.js";
import { startGatewayProcess } from "./support/startGatewayProcess.js";

const ROUTE_HOST = "site.example";
const MODEL = "m";
const EVENT_COUNT = 40;
const EVENT_INTERVAL_MS = 50;
const REPORT_AGE_MS = 100;
const RESET_BEFORE_EVENT = 10;
const STREAMS = 8;
/** Time in ms for which an engine may work on a request that goes on at another one. */
const MAX_OVERLAP_MS = 400;
/** Longest time in ms to the end of a stream whose engine goes on without its connection: half of what the run still takes. */
const MAX_BROKEN_MS = (RESET_BEFORE_EVENT + (EVENT_COUNT - RESET_BEFORE_EVENT) / 2) * EVENT_INTERVAL_MS + 500;

describe("A gateway process before engines that copy their runs", () => {
    const store = createMetadataStoreServer();
    const copies = new Set<string>();
    const options = { model: MODEL, eventCount: EVENT_COUNT, eventIntervalMs: EVENT_INTERVAL_MS, reportAgeMs: REPORT_AGE_MS, copies };
    const services = ["keeping", "dropping", "ending", "refusing"];
    const engines = services.flatMap(service => [`${service}-1`, `${service}-2`].map(id =>
        ({ service, engine: createCopyingEngineServer({ ...options, id, drops: service !== "keeping" }) })));
    let gateway: Awaited<ReturnType<typeof startGatewayProcess>>;
    let sequence = 0;

    const enginesOf = (service: string) => engines.filter(each => each.service === service).map(each => each.engine);

    /** Plays a stream and returns its events, and the time in ms that it took. */
    const playStream = async (service: string): Promise<{ events: number[]; tookMs: number; isCut: boolean }> => {
        sequence += 1;
        const startedAtMs = performance.now();
        let text = "";
        let isCut = false;
        try {
            const res = await request(`http://${gateway.caller}/${service}/x`, {
                method: "POST",
                headers: {
                    "host": ROUTE_HOST,
                    "x-request-id": `r${sequence}`,
                    "x-deadline-ms": "10000",
                    "x-model": MODEL,
                    "x-token-count": "500,120",
                    "x-prompt-prefix": `a${sequence}:500`,
                    "x-length-hint": "120",
                },
                body: "x",
            });
            for await (const chunk of res.body) {
                text += String(chunk);
            }
        }
        catch {
            // A broken connection ends the stream. What has arrived of it stands.
            isCut = true;
        }
        const events = [...text.matchAll(/id: (\d+)\n/g)].map(match => Number(match[1]));
        return { events, tookMs: performance.now() - startedAtMs, isCut };
    };

    const playStreams = (service: string): ReturnType<typeof Promise.all<ReturnType<typeof playStream>[]>> =>
        Promise.all(Array.from({ length: STREAMS }, () => playStream(service)));

    const isWhole = ({ events }: { events: number[] }): boolean =>
        events.length === EVENT_COUNT && events.every((event, index) => event === index + 1);

    /** Returns for how long in ms the first engine of each continued run worked on it after that. */
    const listOverlapsMs = (service: string): number[] => {
        const runs = enginesOf(service).flatMap(engine => engine.runs);
        return runs.filter(run => run.isContinued).map(run => {
            const first = runs.find(each => each.id === run.id && !each.isContinued);
            return (first?.endedAtMs ?? performance.now()) - run.startedAtMs;
        });
    };

    before(async () => {
        const storeAddress = await listenOnFreePort(store.server);
        const limits = { max_header_bytes: 4_096, max_body_bytes: 10_000, header_timeout_ms: 3_000, idle_timeout_ms: 15_000 };
        const model = { name: MODEL, weights_mb: 1, load_time_s: 1, adapters: 0, adapter_mb: 1 };
        const engine = { slots: 64, kv_capacity: 100_000, weights_mb: 10, backups: true, models: [model] };
        store.put("op/config", JSON.stringify({
            version: 3,
            routes: services.map(service => ({
                name: service,
                host: ROUTE_HOST,
                prefix: `/${service}/`,
                kind: "streaming",
                timeout_ms: 10_000,
                target_latency_ms: 500,
                target_gap_ms: 400,
                service,
                max_attempts: 1,
                sticky: true,
            })),
            services: services.map(name => ({ name, health_path: "/health", max_conns: 200, engine })),
            limits,
        }));
        for (const { service, engine: { id, server } } of engines) {
            const address = await listenOnFreePort(server);
            const entry = { service, address, zone: "a", version: "v1", slots: 64, state: "ready", seq: 1 };
            store.put(`servers/${id}`, JSON.stringify({ ...entry, models: [{ name: MODEL, version: 1, adapters: [] }] }));
        }
        gateway = await startGatewayProcess(storeAddress);
        // An instance that has just started makes few retries.
        await waitFor("the gateway has its part of the retry budget", () =>
            gateway.log.some(line => line.event === "retryShare" && Number(line.tokens) > 0));
    });

    after(() => {
        gateway.stop();
        engines.forEach(({ engine }) => engine.close());
        store.close();
    });

    // TWICE: the run went on at the engine with its copy while the first one worked on it.
    it("lets no run go on at another engine while the first one, which has lost its connection, works on it", async () => {
        enginesOf("keeping").forEach(engine => engine.resetBefore(RESET_BEFORE_EVENT));
        const streams = await playStreams("keeping");
        expect(listOverlapsMs("keeping").filter(overlapMs => overlapMs > MAX_OVERLAP_MS)).to.deep.equal([]);
        expect(Math.max(...streams.map(each => each.tookMs)), "longest stream").to.be.below(MAX_BROKEN_MS);
        streams.forEach(({ events }) => expect(events.at(-1)).to.be.below(RESET_BEFORE_EVENT));
    });

    it("has a run go on at another engine when the first one has dropped it with its connection", async () => {
        enginesOf("dropping").forEach(engine => engine.resetBefore(RESET_BEFORE_EVENT));
        const streams = await playStreams("dropping");
        expect(streams.filter(isWhole)).to.have.length(STREAMS);
        expect(listOverlapsMs("dropping")).to.have.length(STREAMS);
        expect(Math.max(...listOverlapsMs("dropping"))).to.be.below(0);
    });

    it("has a run go on at another engine at once when the first one has ended", async () => {
        const playing = playStreams("ending");
        await sleep(RESET_BEFORE_EVENT * EVENT_INTERVAL_MS);
        const [first, second] = enginesOf("ending");
        const cut = first?.runs.length ?? 0;
        const cutAtMs = performance.now();
        first?.close();
        expect((await playing).filter(isWhole)).to.have.length(STREAMS);
        const continued = second?.runs.filter(run => run.isContinued) ?? [];
        expect(continued).to.have.length(cut);
        continued.forEach(run => expect(run.startedAtMs - cutAtMs).to.be.below(REPORT_AGE_MS));
    });

    // WHOLE: a stream that had begun ended as whole when the engine with the copy answered 204.
    it("breaks a stream off when the engine with the copy of its run answers 204", async () => {
        enginesOf("refusing").forEach(engine => {
            engine.resetBefore(RESET_BEFORE_EVENT);
            engine.setContinuesNothing(true);
        });
        const streams = await playStreams("refusing");
        const begun = Array.from({ length: RESET_BEFORE_EVENT - 1 }, (_, index) => index + 1);
        expect(streams.map(({ events, isCut }) => ({ events, isCut }))).to.deep.equal(streams.map(() => ({ events: begun, isCut: true })));
    });
});
