import { URL } from "node:url";
import { createMetadataStoreServer } from "../../packages/medlarlb-fakes/lib/site/createMetadataStoreServer.js";
import { createClient } from "../support/createClient.mjs";
import { createPlacedEngine } from "../support/createPlacedEngine.mjs";
import { createRelay } from "../support/createRelay.mjs";
import { startCase } from "../support/startCase.mjs";

const HOST = "ficu95.example";
const SERVICE = "forecast-llm";
const ZONE = "obs-rack";
const SLOTS = 64;
const TIMEOUT_MS = 4_000;
const CLIENTS = 24;
const MODELS = Array.from({ length: 20 }, (_, index) => `daka5100${String(index).padStart(2, "0")}`);
const ENGINES = 4;
const MODELS_PER_ENGINE = 3;
/** Demand moves to other models, so that there are always orders to give. */
const HOT_MODELS = 3;
const SHIFT_MS = 700;
/** Bound of the sheet: `lease_ms`. */
const LEASE_MS = 3_000;
/** Length of the cut between the planner and the store (the sheet's `core_cut` of the leader has 5.5 s), and of the store's absence. */
const CUT_MS = 5_200;
const AWAY_MS = 100;
/** Age of the copy from which the store comes back: "some seconds". */
const COPY_AGE_MS = 2_500;
const RESTART_MS = 300;
const CALM_MS = 9_000;
const AFTER_MS = 8_000;

const config = JSON.stringify({
    version: 3,
    routes: [{
        name: "storm-digest",
        host: HOST,
        prefix: "/digest/",
        kind: "streaming",
        timeout_ms: TIMEOUT_MS,
        target_latency_ms: 800,
        target_gap_ms: 400,
        service: SERVICE,
        max_attempts: 1,
        sticky: true,
    }],
    services: [{
        name: SERVICE,
        health_path: "/health",
        max_conns: 370,
        engine: {
            slots: SLOTS,
            kv_capacity: 141_956,
            weights_mb: 230_000,
            adapter_slots: 8,
            loads_per_s: 2.5,
            models: MODELS.map(name => ({ name, weights_mb: 72_700, load_time_s: 1.2, disk_load_s: 0.3, adapters: 0, adapter_mb: 66 })),
        },
    }],
    limits: { max_header_bytes: 16_384, max_body_bytes: 100_000, header_timeout_ms: 5_000, idle_timeout_ms: 20_000 },
});

const play = startCase(new URL(".", import.meta.url).pathname);
const { record, nowMs, sleep } = play;
const store = createMetadataStoreServer();
const storeAddress = await play.listen(store.server);

const orders = [];
const onOrder = order => {
    orders.push({ ...order, atMs: nowMs() });
    record(`engine ${order.engine} gets from ${order.holder}, fence ${order.fence}: ${order.text}, answers ${order.status}`);
};
const engines = Array.from({ length: ENGINES }, (_, index) => {
    const id = `i-${index + 1}`;
    const heldModels = MODELS.slice(index * MODELS_PER_ENGINE, (index + 1) * MODELS_PER_ENGINE);
    return createPlacedEngine({ id, heldModels, slots: SLOTS, record, onOrder, onChange: () => writeEntry(id) });
});
const addresses = new Map();
const writeEntry = id => store.put(`servers/${id}`, JSON.stringify({
    service: SERVICE,
    address: addresses.get(id),
    zone: ZONE,
    version: "1",
    slots: SLOTS,
    state: "ready",
    cold_left_ms: 0,
    seq: 1,
    ...engines.find(each => each.id === id).describe(),
}));
for (const { id, server } of engines) {
    addresses.set(id, await play.listen(server));
    writeEntry(id);
}
store.put("op/config", config);

const machines = [];
for (const relay of [createRelay(storeAddress), createRelay(storeAddress)]) {
    machines.push({ ...await play.createMachine(ZONE, await play.listen(relay.server)), relay });
}
for (const machine of machines) {
    machine.seeds = machines.map(each => each.listen.control);
}
const gateways = new Map(await Promise.all(machines.map(async machine => [machine, await play.startGateway(machine)])));
await sleep(2_000);

let isOver = false;
let hot = MODELS.slice(0, HOT_MODELS);
const runClient = async (machine, name) => {
    const client = createClient({ name, record, nowMs });
    while (!isOver) {
        const models = Math.random() < 0.75 ? hot : MODELS;
        await client.send({
            address: machine.listen.front,
            host: HOST,
            method: "POST",
            path: "/digest/2f",
            deadlineMs: TIMEOUT_MS,
            body: "digest",
            headers: {
                "x-model": models[Math.floor(Math.random() * models.length)],
                "x-token-count": "800,24",
                "x-prompt-prefix": `5c1e07a2:200,${name}:600`,
            },
        });
        await sleep(150 * Math.random());
    }
    client.close();
};
const clients = Array.from({ length: CLIENTS }, (_, index) => runClient(machines[index % machines.length], `c${index}`));
const shiftDemand = async () => {
    while (!isOver) {
        hot = Array.from({ length: HOT_MODELS }, () => MODELS[Math.floor(Math.random() * MODELS.length)]);
        await sleep(SHIFT_MS);
    }
};
const shifts = shiftDemand();
await sleep(CALM_MS);
const copy = store.copy();
await sleep(COPY_AGE_MS);
const planner = machines.find(each => each.listen.control === orders.at(-1)?.holder);
const other = machines.find(each => each !== planner);
if (planner === undefined) {
    play.end("couldNotRun", "no orders were given");
}
const troubleAtMs = nowMs();
record(`the planner is ${planner.listen.control}`);
if (play.hasTrouble) {
    record("the other process is killed");
    gateways.get(other).kill("SIGKILL");
    await sleep(RESTART_MS);
    record("the planner's machine is cut off from the store, and the other process starts");
    planner.relay.setSilent(true);
    const cutAtMs = nowMs();
    const started = play.startGateway(other);
    await sleep(AWAY_MS);
    store.restore(copy);
    // The operator and the engines write again what they wrote.
    store.put("op/config", config);
    engines.forEach(({ id }) => writeEntry(id));
    record(`the store has come back from a copy of ${COPY_AGE_MS + RESTART_MS + AWAY_MS} ms before`);
    await started;
    await sleep(Math.max(0, cutAtMs + CUT_MS - nowMs()));
    planner.relay.setSilent(false);
    record("the planner's machine reaches the store again");
}
await sleep(Math.max(0, troubleAtMs + CUT_MS + AFTER_MS - nowMs()));
isOver = true;
await Promise.all([...clients, shifts]);

/** ONE: orders of one holder to an engine that follow those of another one within `lease_ms`, or bear a lower fence. */
const faults = engines.flatMap(({ id }) => {
    const own = orders.filter(each => each.engine === id);
    return own.flatMap((order, index) => {
        const before = own[index - 1];
        const isTurn = before !== undefined && before.holder !== order.holder;
        const isShort = isTurn && order.atMs - before.atMs < LEASE_MS;
        const isLower = before !== undefined && order.fence < before.fence;
        return isShort || isLower ? [`${id}: ${order.atMs - before?.atMs} ms after an order of the other holder${isLower ? ", with a lower fence" : ""}`] : [];
    });
});
faults.forEach(record);
record(`orders ${orders.length}, of ${new Set(orders.map(each => each.holder)).size} holders`);
play.end(faults.length > 0 ? "broken" : "held", `changes of an engine's holder within ${LEASE_MS} ms, or with a lower fence: ${faults.length} `
+ `(any breaks ONE): ${faults.join("; ")}`);
