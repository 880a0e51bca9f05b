import { URL } from "node:url";
import { createMetadataStoreServer } from "../../packages/medlarlb-fakes/lib/site/createMetadataStoreServer.js";
import { createClient } from "../support/createClient.mjs";
import { createModelEngine } from "../support/createModelEngine.mjs";
import { startCase } from "../support/startCase.mjs";

const HOST = "ficu95.example";
const SERVICE = "forecast-llm";
const MODEL = "daka510000";
const EVENT_COUNT = 57;
const EVENT_MS = 50;
const TIMEOUT_MS = 15_000;
const CLIENTS_PER_MACHINE = 5;
/** What is asked of the sheet's disruption `answer_lost` with `reset`: 1 of 2 engines (0.5), 0.05 of its answers, for 4 s. */
const LOST_EVERY = 20;
const LOST_FOR_MS = 4_000;
const LOST_AT_EVENT = 10;
/** TWICE: time for which the engine before may still work on a request that goes on at another one. */
const MAX_OVERLAP_MS = 400;
/** An instance has its part of the retry budget one and a half windows after its start. */
const CALM_MS = 16_000;
const AFTER_MS = 5_000;

const config = {
    version: 3,
    routes: [{
        name: "sighting-brief",
        host: HOST,
        prefix: "/brief/",
        kind: "streaming",
        timeout_ms: TIMEOUT_MS,
        target_latency_ms: 600,
        target_gap_ms: 400,
        service: SERVICE,
        max_attempts: 1,
        priority: 0,
        sticky: true,
    }],
    services: [{
        name: SERVICE,
        health_path: "/health",
        max_conns: 370,
        engine: {
            slots: 64,
            kv_capacity: 141_956,
            weights_mb: 230_000,
            adapter_slots: 8,
            loads_per_s: 2.5,
            backups: true,
            models: [{ name: MODEL, weights_mb: 72_700, load_time_s: 1.2, adapters: 0, adapter_mb: 66 }],
        },
    }],
    limits: { max_header_bytes: 16_384, max_body_bytes: 100_000, header_timeout_ms: 5_000, idle_timeout_ms: 20_000 },
};

const play = startCase(new URL(".", import.meta.url).pathname);
const { record, nowMs, sleep } = play;
const store = createMetadataStoreServer();
const storeAddress = await play.listen(store.server);
let isLosing = false;
let streams = 0;

/** Resets the connections of some streams of the first engine, which runs them to their end. */
const loseSome = (run, res) => {
    if (!isLosing || !play.hasTrouble || run.event !== LOST_AT_EVENT || run.isContinued) {
        return;
    }
    streams += 1;
    if (streams % LOST_EVERY === 1) {
        run.isLost = true;
        record(`engine i-1: the answer to ${run.id} is lost, its connection is reset; the run goes on`);
        res.socket.resetAndDestroy();
    }
};

const copies = new Map();
const engines = ["i-1", "i-2"].map(id => createModelEngine({
    id,
    models: [MODEL],
    slots: 64,
    eventMs: EVENT_MS,
    eventCount: EVENT_COUNT,
    copies,
    drops: id !== "i-1",
    record,
    nowMs,
    onEvent: id === "i-1" ? loseSome : undefined,
}));
for (const engine of engines) {
    engine.setAddress(await play.listen(engine.server));
    store.put(`servers/${engine.id}`, engine.entry(SERVICE, "hall-a"));
}
store.put("op/config", JSON.stringify(config));

const machines = [await play.createMachine("hall-a", storeAddress), await play.createMachine("hall-a", storeAddress)];
for (const machine of machines) {
    machine.seeds = machines.map(each => each.listen.control);
}
await Promise.all(machines.map(play.startGateway));
await sleep(2_000);

let isOver = false;
const outcomes = [];
const runClient = async (machine, name) => {
    const client = createClient({ name, record, nowMs });
    while (!isOver) {
        outcomes.push(await client.send({
            address: machine.listen.front,
            host: HOST,
            method: "POST",
            path: "/brief/2f",
            deadlineMs: TIMEOUT_MS,
            body: "brief",
            headers: { "x-model": MODEL, "x-token-count": "1110,171", "x-prompt-prefix": `5c1e07a2:350,${name}:760`, "x-length-hint": "171" },
        }));
        await sleep(500 * Math.random());
    }
    client.close();
};
const clients = machines.flatMap((machine, index) => Array.from({ length: CLIENTS_PER_MACHINE }, (_, number) => runClient(machine, `c${index}${number}`)));
await sleep(CALM_MS);
isLosing = true;
record("engine i-1 may lose answers from now on");
await sleep(LOST_FOR_MS);
isLosing = false;
record(`no more lost answers, of ${streams} streams`);
await sleep(AFTER_MS);
isOver = true;
await Promise.all(clients);

const [first, second] = engines;
const overlaps = second.runs.filter(run => run.isContinued).flatMap(run => {
    const before = first.runs.find(each => each.id === run.id);
    return before === undefined ? [] : [{ id: run.id, overlapMs: (before.endedAtMs ?? nowMs()) - run.startedAtMs }];
});
overlaps.forEach(({ id, overlapMs }) => record(`${id} went on at i-2; i-1 worked on it for ${overlapMs} ms more`));
record(`streams ${outcomes.length}, whole ${outcomes.filter(each => each.status === 200 && each.error === undefined).length}`);
const broken = overlaps.filter(each => each.overlapMs > MAX_OVERLAP_MS);
play.end(broken.length > 0 ? "broken" : "held", `requests that went on at another engine: ${overlaps.length}; the engine before still worked on ${broken.length} of them `
+ `over ${MAX_OVERLAP_MS} ms later (any breaks TWICE)`);
