import { randomUUID } from "node:crypto";
import { setTimeout as sleep } from "node:timers/promises";
import { expect } from "chai";
import { request } from "undici";
import { brandAs } from "medlarlb-types/brandAs";
import type { InstanceId } from "medlarlb-types/instanceId";
import { createPeerNetwork } from "medlarlb-peers/createPeerNetwork";
import { findFreePort } from "../cluster/findFreePort.js";
import { waitFor } from "../cluster/waitFor.js";
import { createMetadataStoreServer } from "../site/createMetadataStoreServer.js";
import { createUserEngineServer } from "../site/createUserEngineServer.js";
import { createOperatorConfig } from "./support/createOperatorConfig.js";
import { createPeerMessages } from "../peers/createPeerMessages.js";
import { listenOnFreePort } from "./support/listenOnFreePort.js";
import { listOddVariants } from "../peers/listOddVariants.js";
import { startGatewayProcess } from "./support/startGatewayProcess.js";

const FIRST_CONFIG_VERSION = 1_000;
const KEY = "sixteen-characters";
/** Time in ms in which messages arrive and what they set off has run, such as probes and steps of the decisions. */
const SETTLE_MS = 500;
/** Messages that are sent before a pause, so that none is dropped for a full queue. */
const BATCH = 200;

type Gateway = Awaited<ReturnType<typeof startGatewayProcess>>;

/** Creates an instance that sends any message. */
const createSender = async () => {
    const address = `127.0.0.1:${await findFreePort()}`;
    const [host = "", port] = address.split(":");
    const network = createPeerNetwork({
        id: address,
        bootId: randomUUID(),
        key: KEY,
        host,
        port: Number(port),
        onMessage: () => undefined,
        onBroken: () => undefined,
        onClosed: () => undefined,
        countBytes: () => undefined,
    });
    await network.listen();
    return { address, network };
};

describe("A gateway process that another instance sends odd messages", () => {
    const store = createMetadataStoreServer();
    const engine = createUserEngineServer("e1");
    let storeAddress = "";
    let gateway: Gateway | undefined;
    let sender: Awaited<ReturnType<typeof createSender>>;
    let sequence = 0;
    let configVersion = FIRST_CONFIG_VERSION;

    const send = async ({ caller }: Gateway): Promise<string> => {
        sequence += 1;
        const headers = { "host": "site.example", "x-request-id": `r${sequence}`, "x-deadline-ms": "2000" };
        const res = await request(`http://${caller}/safe/x`, { method: "POST", headers, body: "x" });
        return `${res.statusCode} ${await res.body.text()}`;
    };

    before(async () => {
        sender = await createSender();
        storeAddress = await listenOnFreePort(store.server);
        store.put("op/config", JSON.stringify(createOperatorConfig(configVersion)));
        store.put("servers/e1", JSON.stringify({ service: "s", address: await listenOnFreePort(engine.server), zone: "a", slots: 8, state: "ready", models: [], seq: 1 }));
    });

    beforeEach(async () => {
        if (gateway === undefined || gateway.hasEnded()) {
            gateway?.stop();
            const started = await startGatewayProcess(storeAddress);
            gateway = started;
            await waitFor("it forwards requests", async () => (await send(started)).startsWith("200"));
        }
    });

    after(() => {
        gateway?.stop();
        sender.network.close();
        engine.close();
        store.close();
    });

    for (const [kind, createFields] of Object.entries(createPeerMessages())) {
        // FAULT: fields that were missing or of another type ended the process, some at once and some with its next status.
        it(`serves and follows the store after messages "${kind}" with odd fields`, async () => {
            const receiver = gateway as Gateway;
            const id = brandAs<InstanceId>(receiver.peer);
            const variants = listOddVariants(createFields(sender.address)).map(fields => ({ ...(fields as object), kind }));
            for (const [index, variant] of variants.entries()) {
                sender.network.send(id, receiver.peer, variant as never);
                if (index % BATCH === BATCH - 1) {
                    await sleep(SETTLE_MS);
                }
            }
            await sleep(SETTLE_MS);
            expect(receiver.hasEnded(), "has ended").to.equal(false);
            expect(await send(receiver)).to.equal("200 answer of e1");
            configVersion += 1;
            store.put("op/config", JSON.stringify(createOperatorConfig(configVersion)));
            await waitFor("it follows the store", () => receiver.log.some(each => each["event"] === "configApplied" && each["version"] === configVersion));
            expect(receiver.log.filter(each => each["event"] === "messageBroken" && each["kind"] === kind), "log lines").to.have.length(1);
        }).timeout(20_000);
    }
});
