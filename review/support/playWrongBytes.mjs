import { createClient } from "./createClient.mjs";
import { createEngine } from "./createEngine.mjs";
import { startCase } from "./startCase.mjs";
import { createMetadataStoreServer } from "../../packages/medlarlb-fakes/lib/site/createMetadataStoreServer.js";

const HOST = "ficu95.example";
const SERVICE = "alert-api";
const ROUTE_TIMEOUT_MS = 1_000;
/** What is asked of the sheet's disruption `garble`: 1 of 3 engines (0.35 of them), 0.02 of its answers, for 5.5 s. */
const WRONG_EVERY = 50;
const WRONG_FOR_MS = 5_500;
const CLIENTS_PER_MACHINE = 24;
const PAUSE_MS = 100;
const CALM_MS = 3_000;
const AFTER_MS = 4_000;
const RESTART_MS = 500;

const createConfig = () => ({
    version: 3,
    routes: [{ name: "push-alert", host: HOST, prefix: "/push/", kind: "unsafe", timeout_ms: ROUTE_TIMEOUT_MS, target_latency_ms: 193, service: SERVICE, max_attempts: 1 }],
    services: [{ name: SERVICE, health_path: "/health", max_conns: 110 }],
    limits: { max_header_bytes: 16_384, max_body_bytes: 100_000, header_timeout_ms: 5_000, idle_timeout_ms: 20_000 },
});

/**
 * Plays two machines, three engines and clients that reuse their connections. For a while, `writeWrongAnswer` answers some requests
 * at one of the engines. `judge` gets what the clients and the engines have seen.
 */
export const playWrongBytes = async ({ folder, writeWrongAnswer, judge }) => {
    const play = startCase(folder);
    const { record, nowMs, sleep } = play;
    const store = createMetadataStoreServer();
    const storeAddress = await play.listen(store.server);
    let isWrong = false;
    let lastAnswers = 0;
    let wrongAnswers = 0;

    /** The answer of the faulty engine: without a length, ended by its connection. Some of them have wrong bytes. */
    const answerUnframed = (run, res) => {
        lastAnswers += isWrong ? 1 : 0;
        const head = [`X-Request-Id: ${run.id}`, "X-Instance-Id: i-3", "Content-Type: text/plain", "X-Server-Load: 1,0,6", "Connection: close"];
        if (isWrong && play.hasTrouble && lastAnswers % WRONG_EVERY === 1) {
            wrongAnswers += 1;
            record(`engine i-3 answers ${run.id} with wrong bytes`);
            writeWrongAnswer(res.socket, run, head);
            return;
        }
        res.socket.end(`HTTP/1.1 200 OK\r\n${head.join("\r\n")}\r\nX-Response-Stamp: ${run.stamp}\r\n\r\n${run.body}`);
    };

    const engines = ["i-1", "i-2", "i-3"].map(id =>
        createEngine({ id, slots: 6, workMs: 43, record, nowMs, answer: id === "i-3" ? answerUnframed : undefined }));
    for (const { id, server } of engines) {
        const address = await play.listen(server);
        store.put(`servers/${id}`, JSON.stringify({ service: SERVICE, address, zone: "hall-a", version: "1", slots: 6, state: "ready", cold_left_ms: 0, seq: 1, born: 1_700_000_000_000 }));
    }
    store.put("op/config", JSON.stringify(createConfig()));

    const machines = [await play.createMachine("hall-a", storeAddress), await play.createMachine("hall-a", storeAddress)];
    const seeds = machines.map(machine => machine.listen.control);
    machines.forEach(machine => {
        machine.seeds = seeds;
    });
    let isOver = false;
    const gateways = [];
    /** Runs the process of a machine, and starts it again as the platform does when it has ended. */
    const keepRunning = async machine => {
        while (!isOver) {
            const gateway = await play.startGateway(machine);
            gateways.push(gateway);
            await new Promise(resolve => {
                gateway.child.once("exit", resolve);
            });
            await sleep(RESTART_MS);
        }
    };
    machines.forEach(machine => void keepRunning(machine));
    while (gateways.length < machines.length) {
        await sleep(50);
    }
    await sleep(2_000);

    const outcomes = [];
    const runClient = async (machine, name) => {
        const client = createClient({ name, record, nowMs });
        while (!isOver) {
            outcomes.push({ machine, ...await client.send({
                address: machine.listen.front,
                host: HOST,
                method: "POST",
                path: "/push/2f",
                deadlineMs: 2 * ROUTE_TIMEOUT_MS,
                body: "alert",
            }) });
            await sleep(PAUSE_MS * (0.5 + Math.random()));
        }
        client.close();
    };
    const clients = machines.flatMap((machine, index) =>
        Array.from({ length: CLIENTS_PER_MACHINE }, (_, number) => runClient(machine, `c${index}${String(number).padStart(2, "0")}`)));
    await sleep(CALM_MS);
    isWrong = true;
    const wrongFromMs = nowMs();
    record("engine i-3 may answer with wrong bytes from now on");
    await sleep(WRONG_FOR_MS);
    isWrong = false;
    record(`no more wrong bytes: ${wrongAnswers} of ${lastAnswers} answers of i-3`);
    await sleep(AFTER_MS);
    isOver = true;
    await Promise.race([Promise.all(clients), sleep(3 * ROUTE_TIMEOUT_MS)]);
    for (const { machine, exit } of gateways) {
        record(`gateway ${machine.listen.front}: ${exit === undefined ? `ready ${await play.isReady(machine.listen.ready)}` : "had ended"}`);
    }
    const runs = new Map(engines.flatMap(engine => engine.runs.map(run => [run.id, run])));
    const verdict = judge({ outcomes, runs, gateways, machines, wrongFromMs, routeTimeoutMs: ROUTE_TIMEOUT_MS, faultyEngine: "i-3" });
    record(`requests ${outcomes.length}, answered with 200 ${outcomes.filter(each => each.status === 200 && each.error === undefined).length}`);
    play.end(verdict.isBroken ? "broken" : "held", verdict.text);
};
