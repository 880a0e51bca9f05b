import { setTimeout as sleep } from "node:timers/promises";
import { expect } from "chai";
import { Agent, request } from "undici";
import { readProcessUsage } from "../cluster/readProcessUsage.js";
import { waitFor } from "../cluster/waitFor.js";
import { createMetadataStoreServer } from "../site/createMetadataStoreServer.js";
import { createUserEngineServer } from "../site/createUserEngineServer.js";
import { createOperatorConfig } from "./support/createOperatorConfig.js";
import { listenOnFreePort } from "./support/listenOnFreePort.js";
import { startGatewayProcess } from "./support/startGatewayProcess.js";

/** Time in ms in which a document that is taken at all has been taken, and a request under it has begun. */
const READ_MS = 250;
/** Largest part of a core that a process may use while it waits. */
const MAX_IDLE_LOAD = 0.3;
/** Numbers that JSON can hold. The last one is beyond what a number can hold. */
const oddNumbers = ["0", "-1", "-1e9", "0.5", "2147483648", "1e16", "1e308", "1e999"];

type Document = Record<string, unknown>;

const createDocument = (version: number): Document => createOperatorConfig(version);

/** Replaces the value of a field wherever a part of a document has it. */
const replaceField = (document: Document, part: string, field: string, text: string): string => {
    const mark = "\u0001mark";
    const replaced = JSON.stringify({ [part]: document[part] }, (name, value: unknown) => (name === field ? mark : value));
    const rest = JSON.stringify({ ...document, [part]: undefined });
    return `${rest.slice(0, -1)},${replaced.slice(1).replaceAll(JSON.stringify(mark), () => text)}`;
};

/** Fields that reach timers, the server for callers and the wait of requests. The decoders' tests have the others. */
const fields: Record<string, string[]> = {
    limits: ["header_timeout_ms", "idle_timeout_ms"],
    routes: ["timeout_ms", "max_attempts"],
};

describe("A gateway process that reads configuration documents with odd values", () => {
    const store = createMetadataStoreServer();
    const engine = createUserEngineServer("e1");
    const agent = new Agent();
    let storeAddress = "";
    let gateway: Awaited<ReturnType<typeof startGatewayProcess>> | undefined;
    let version = 1;
    let sequence = 0;

    /** Sends a request on a connection that is kept open. */
    const send = async (caller: string, route = "safe"): Promise<number> => {
        sequence += 1;
        const headers = { "host": "site.example", "x-request-id": `r${sequence}` };
        const res = await request(`http://${caller}/${route}/x`, { method: "POST", headers, body: "x", dispatcher: agent, headersTimeout: 1_000 });
        await res.body.dump();
        return res.statusCode;
    };

    before(async () => {
        storeAddress = await listenOnFreePort(store.server);
        store.put("servers/e1", JSON.stringify({ service: "s", address: await listenOnFreePort(engine.server), zone: "a", slots: 8, state: "ready", models: [], seq: 1 }));
    });

    beforeEach(async () => {
        if (gateway === undefined || gateway.hasEnded()) {
            gateway?.stop();
            version += 1;
            store.put("op/config", JSON.stringify(createDocument(version)));
            gateway = await startGatewayProcess(storeAddress);
        }
    });

    after(async () => {
        gateway?.stop();
        await agent.destroy();
        engine.close();
        store.close();
    });

    for (const [part, names] of Object.entries(fields)) {
        for (const field of names) {
            it(`goes on, without load, and serves by the next document after "${field}" of ${part} with odd values`, async () => {
                const { caller, log, hasEnded } = gateway as NonNullable<typeof gateway>;
                const { pid } = await waitFor("it has started", () => log.find(each => each["event"] === "started")) as { pid: number };
                for (const value of oddNumbers) {
                    version += 1;
                    store.put("op/config", replaceField(createDocument(version), part, field, value));
                    await sleep(READ_MS);
                    const cpuBefore = hasEnded() ? 0 : readProcessUsage(pid).cpuSeconds;
                    // No target serves the other service, so that its request waits.
                    await Promise.race([Promise.allSettled([send(caller), send(caller, "other")]), sleep(READ_MS)]);
                    await sleep(READ_MS);
                    expect(hasEnded(), `has ended at ${value}`).to.equal(false);
                    const load = (readProcessUsage(pid).cpuSeconds - cpuBefore) / READ_MS * 1_000;
                    expect(load, `load at ${value}`).to.be.below(MAX_IDLE_LOAD);
                }
                version += 1;
                store.put("op/config", JSON.stringify(createDocument(version)));
                await waitFor("the next document is in force", async () => await send(caller).catch(() => 0) === 200);
            }).timeout(60_000);
        }
    }
});
