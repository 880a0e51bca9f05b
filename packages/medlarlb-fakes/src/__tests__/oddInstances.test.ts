import { setTimeout as sleep } from "node:timers/promises";
import { expect } from "chai";
import { request } from "undici";
import { waitFor } from "../cluster/waitFor.js";
import { createMetadataStoreServer } from "../site/createMetadataStoreServer.js";
import { createUserEngineServer } from "../site/createUserEngineServer.js";
import { createOperatorConfig } from "./support/createOperatorConfig.js";
import { listenOnFreePort } from "./support/listenOnFreePort.js";
import { startGatewayProcess } from "./support/startGatewayProcess.js";

/** Time in ms in which an entry is known to all instances, and in which those that it ends have ended. */
const KNOWN_MS = 1_500;
const REQUESTS = 8;
const LONG_ID_LETTERS = 180;

type Gateway = Awaited<ReturnType<typeof startGatewayProcess>>;

/** Ids that no instance can have, by what is odd about them. The id of an instance is its address. */
const oddIds: Record<string, string[]> = {
    "with ports that no address can have": ["127.0.0.1:99999", "127.0.0.1:70000", "127.0.0.1:65536", "127.0.0.1:-1", "127.0.0.1:80.5", "127.0.0.1:1e9", "127.0.0.1:0"],
    "without a port": ["127.0.0.1", "127.0.0.1:", "x y", "", "x".repeat(LONG_ID_LETTERS)],
    "with hosts that aren't IP numbers": ["999.1.1.1:80", "localhost:80", "[::1]:80", "127.0.0.1:80:80", "a\r\nb:80", "\u0000:80"],
};
const oddValues = ["null", "[]", "7", "{}", "{\"zone\":7}", "{\"zone\":null}", "{\"zone\":\"\"}", "{\"zone\":{\"a\":1}}", "{\"zone\":\"a\",\"sinceMs\":1e999}", "x", ""];
const oddPlanners = ["127.0.0.1:99999 active", "127.0.0.1:99999", "x y active", "", " active", "null"];

describe("Two gateway processes that read odd entries of another writer under the project's own prefix", () => {
    const store = createMetadataStoreServer();
    const engine = createUserEngineServer("e1");
    let gateways: Gateway[] = [];
    let storeAddress = "";
    let sequence = 0;

    const send = async (gateway: Gateway): Promise<string> => {
        sequence += 1;
        const headers = { "host": "site.example", "x-request-id": `r${sequence}`, "x-deadline-ms": "2000" };
        const res = await request(`http://${gateway.caller}/safe/x`, { method: "POST", headers, body: "x" });
        return `${res.statusCode} ${await res.body.text()}`;
    };

    before(async () => {
        storeAddress = await listenOnFreePort(store.server);
        store.put("op/config", JSON.stringify(createOperatorConfig(4)));
        store.put("servers/e1", JSON.stringify({ service: "s", address: await listenOnFreePort(engine.server), zone: "a", slots: 8, state: "ready", models: [], seq: 1 }));
    });

    beforeEach(async () => {
        const first = await startGatewayProcess(storeAddress);
        gateways = [first, await startGatewayProcess(storeAddress, { seeds: first.peer })];
        await waitFor("both forward requests", async () => (await Promise.all(gateways.map(send))).every(each => each.startsWith("200")));
    });

    afterEach(() => gateways.forEach(gateway => gateway.stop()));

    after(() => {
        engine.close();
        store.close();
    });

    /** Writes entries, and checks that the running processes and one that starts beside the entries serve. */
    const checkServed = async (entries: ReadonlyMap<string, string>): Promise<void> => {
        entries.forEach((value, key) => store.put(key, value));
        await sleep(KNOWN_MS);
        const added = await startGatewayProcess(storeAddress, { seeds: gateways[0]?.peer, awaitReady: false });
        try {
            await sleep(KNOWN_MS);
            for (let count = 0; count < REQUESTS; count += 1) {
                const answers = await Promise.all([...gateways, added].map(send));
                expect(answers).to.deep.equal(answers.map(() => "200 answer of e1"));
            }
            expect([...gateways, added].map(each => each.hasEnded())).to.deep.equal([false, false, false]);
        }
        finally {
            added.stop();
            entries.forEach((_, key) => store.remove(key));
        }
    };

    // FAULT: such an entry ended every process as soon as it had read it, and each new one again.
    for (const [name, ids] of Object.entries(oddIds)) {
        it(`serve beside instances' ids ${name}, and so does a process that starts`, () =>
            checkServed(new Map(ids.map(id => [`medlarlb/instances/${id}`, JSON.stringify({ zone: "a" })])))).timeout(30_000);
    }

    it("serve beside instances' entries with odd values, and so does a process that starts", () =>
        checkServed(new Map(oddValues.map((value, index) => [`medlarlb/instances/127.0.0.1:${index + 1}`, value])))).timeout(30_000);

    it("serve beside odd entries of planners, and so does a process that starts", () =>
        checkServed(new Map(oddPlanners.map((value, index) => [`medlarlb/planners/zone-${index}`, value])))).timeout(30_000);

    it("serve beside keys of no known kind", () =>
        checkServed(new Map(["medlarlb/", "medlarlb/x", "medlarlb/instances", "medlarlb/instances/", "medlarlb/planners/", "x", "servers"].map(key => [key, "x"])))).timeout(30_000);
});
