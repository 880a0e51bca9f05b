import { setTimeout as sleep } from "node:timers/promises";
import { expect } from "chai";
import { request } from "undici";
import { waitFor } from "../cluster/waitFor.js";
import { createMetadataStoreServer } from "../site/createMetadataStoreServer.js";
import { createUserEngineServer } from "../site/createUserEngineServer.js";
import { createOperatorConfig } from "./support/createOperatorConfig.js";
import { listenOnFreePort } from "./support/listenOnFreePort.js";
import { startGatewayProcess } from "./support/startGatewayProcess.js";

/** Time in ms within which an acknowledged configuration has to be in force. */
const IN_FORCE_MS = 4_000;
/** Time in ms in which an entry is known to all instances. */
const KNOWN_MS = 700;
const REQUESTS = 12;
const NESTING = 200_000;
/** Longest time in ms to an answer: half of the deadline. */
const MAX_ANSWER_MS = 1_000;

type Entry = Record<string, unknown>;

const nested = (depth: number): string => `${"[".repeat(depth)}${"]".repeat(depth)}`;
const write = (entry: Entry, field: string, json: string): string => JSON.stringify({ ...entry, [field]: "?" }).replace("\"?\"", json);

/** Entries of another writer, by what is odd about them. `entry` is a sound one. */
const oddEntries: Record<string, (entry: Entry) => string[]> = {
    "that are nested deeply": entry => [
        nested(NESTING),
        write(entry, "note", nested(NESTING)),
        write(entry, "models", nested(NESTING)),
        write(entry, "at_hand", `${"{\"in_memory\":".repeat(NESTING)}1${"}".repeat(NESTING)}`),
    ],
    "with addresses to which nothing can connect": entry =>
        ["127.0.0.1:70000", "127.0.0.1:0", "999.999.999.999:80"].map(address => JSON.stringify({ ...entry, address })),
    "with numbers that are too large, or that no target can have": entry => [
        ...["1e999", "1e308", "-5", "0", "0.5"].map(slots => write(entry, "slots", slots)),
        write(entry, "born", "1e308"),
        write({ ...entry, state: "draining" }, "remaining_ms", "1e308"),
        write(entry, "models", "[{\"name\":\"m\",\"version\":1e308,\"adapters\":[]}]"),
        "1e999",
    ],
    "that are long": entry => [
        JSON.stringify({ ...entry, note: "x".repeat(700_000) }),
        JSON.stringify({ ...entry, models: Array.from({ length: 20_000 }, (_, index) => ({ name: `m${index}`, adapters: [] })) }),
    ],
    "that are no description of a target": entry => [
        JSON.stringify({ ...entry, state: "constructor" }),
        write(entry, "__proto__", "{\"service\":\"other\"}"),
        "null",
        "\u0000\u00ff\ud800",
    ],
};
/** Ids that can't be named in the header of a request. The last one is an empty line in Latin-1. */
const oddIds = ["odd\r\nX-Odd: 1", "odd\u0007", "", "odd\u010d\u010a\u010d\u010a"];

describe("Two gateway processes that read odd entries of another writer among those of the targets", () => {
    const store = createMetadataStoreServer();
    const engine = createUserEngineServer("e1");
    const gateways: Awaited<ReturnType<typeof startGatewayProcess>>[] = [];
    let engineAddress = "";
    let version = 4;
    let sequence = 0;

    const createEntry = (): Entry => ({ service: "s", address: engineAddress, zone: "a", slots: 8, state: "ready", models: [], seq: 1 });

    const send = async (gateway: number, path: string): Promise<{ status: number; body: string }> => {
        sequence += 1;
        const headers = { "host": "site.example", "x-request-id": `r${sequence}`, "x-deadline-ms": "2000" };
        const res = await request(`http://${gateways[gateway]?.caller}${path}`, { method: "POST", headers, body: "x" });
        return { status: res.statusCode, body: await res.body.text() };
    };

    const writeConfig = (): void => {
        const config = createOperatorConfig(version);
        const added = { ...config.routes[0], name: `v${version}`, prefix: `/v${version}/` };
        store.put("op/config", JSON.stringify({ ...config, routes: [...config.routes, added] }));
    };

    before(async () => {
        const storeAddress = await listenOnFreePort(store.server);
        engineAddress = await listenOnFreePort(engine.server);
        writeConfig();
        store.put("servers/e1", JSON.stringify(createEntry()));
        const first = await startGatewayProcess(storeAddress);
        gateways.push(first, await startGatewayProcess(storeAddress, { seeds: first.peer }));
        await waitFor("both forward requests", async () =>
            (await Promise.all([0, 1].map(each => send(each, "/safe/x")))).every(each => each.status === 200));
        // An instance that has just started makes few retries.
        await waitFor("both have their part of the retry budget", () =>
            gateways.every(gateway => gateway.log.some(line => line.event === "retryShare" && Number(line.tokens) > 0)));
    });

    after(() => {
        gateways.forEach(gateway => gateway.stop());
        engine.close();
        store.close();
    });

    /** Writes entries, and checks that both instances serve and follow the store on as before. */
    const checkServed = async (entries: ReadonlyMap<string, string>): Promise<void> => {
        entries.forEach((value, key) => store.put(key, value));
        await sleep(KNOWN_MS);
        for (let count = 0; count < REQUESTS; count += 1) {
            const startedAtMs = performance.now();
            const answers = await Promise.all([0, 1].flatMap(each => [send(each, "/safe/x"), send(each, "/unsafe/x")]));
            expect(answers.map(each => each.body)).to.deep.equal(answers.map(() => "answer of e1"));
            expect(performance.now() - startedAtMs).to.be.below(MAX_ANSWER_MS);
        }
        version += 1;
        writeConfig();
        const path = `/v${version}/x`;
        await waitFor("the next configuration is in force", async () =>
            (await Promise.all([0, 1].map(each => send(each, path)))).every(each => each.status === 200), IN_FORCE_MS);
        entries.forEach((_, key) => store.remove(key));
        await sleep(KNOWN_MS);
    };

    for (const [name, writeEntries] of Object.entries(oddEntries)) {
        // LOST: such an entry ended each process that sent its target a request.
        it(`serve and follow the store beside entries ${name}`, () =>
            checkServed(new Map(writeEntries(createEntry()).map((value, index) => [`servers/odd${index}`, value])))).timeout(30_000);
    }

    // UNASKED: requests name the id of their target, with whatever it has.
    it("serve and follow the store beside entries whose ids can't be named in a request", async () => {
        await checkServed(new Map(oddIds.map(id => [`servers/${id}`, JSON.stringify(createEntry())])));
        expect(engine.receivedHeaders.flat().filter(each => each.toLowerCase() === "x-odd")).to.deep.equal([]);
    }).timeout(30_000);
});
