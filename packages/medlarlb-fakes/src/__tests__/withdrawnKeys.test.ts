import { setTimeout as sleep } from "node:timers/promises";
import { expect } from "chai";
import { waitFor } from "../cluster/waitFor.js";
import { createMetadataStoreServer } from "../site/createMetadataStoreServer.js";
import { createUserEngineServer } from "../site/createUserEngineServer.js";
import { createKeyCaller } from "./support/createKeyCaller.js";
import { createPeerStandIn } from "./support/createPeerStandIn.js";
import { createTcpRelay } from "./support/createTcpRelay.js";
import { createWorkspaceConfig } from "./support/createWorkspaceConfig.js";
import { listenOnFreePort } from "./support/listenOnFreePort.js";
import { startGatewayProcess } from "./support/startGatewayProcess.js";

/** Time in ms by which a withdrawn key is no longer in force on a connected instance. */
const WITHDRAWN_MS = 5_000;
/** Time in ms for which instances are watched for a key that comes back, and the pause in ms between requests. */
const WATCH_MS = 3_000;
const PAUSE_MS = 10;
const STORE_REVISION = 9;
const KEPT_KEY = "kept-secret";
const WITHDRAWN_KEY = "withdrawn-secret";

const configBefore = JSON.stringify(createWorkspaceConfig(4, { alpha: [KEPT_KEY, WITHDRAWN_KEY] }));
const configAfter = JSON.stringify(createWorkspaceConfig(5, { alpha: [KEPT_KEY] }));

describe("A withdrawn key doesn't become valid again", () => {
    const engine = createUserEngineServer("e1");
    const caller = createKeyCaller();
    let store: ReturnType<typeof createMetadataStoreServer>;
    let storeAddress = "";
    let entry = "";
    let toClose: (() => void)[] = [];

    const startGateway = async (...args: Parameters<typeof startGatewayProcess>) => {
        const gateway = await startGatewayProcess(...args);
        toClose.push(gateway.stop);
        return gateway;
    };

    const sendStatus = async (address: string, key: string): Promise<number> => (await caller.send(address, { keys: [key] })).status;

    /** Sends requests with the withdrawn key for a while, and returns the statuses that they got and the number of runs. */
    const watch = async (address: string, watchMs = WATCH_MS) => {
        const statuses = new Set<number>();
        const ids = new Set<string>();
        for (const endMs = performance.now() + watchMs; performance.now() < endMs; await sleep(PAUSE_MS)) {
            const { id, status } = await caller.send(address, { keys: [WITHDRAWN_KEY] });
            ids.add(id);
            statuses.add(status);
        }
        const runs = engine.runs.filter(run => ids.has(run.requestId)).length;
        return { statuses: [...statuses].filter(status => status !== 0).sort(), runs };
    };

    const expectNeverValid = async (address: string): Promise<void> => {
        const { statuses, runs } = await watch(address);
        expect(runs, "runs of requests with the withdrawn key").to.equal(0);
        expect(statuses).to.include(401);
        expect(statuses.filter(status => status !== 401 && status !== 503)).to.deep.equal([]);
        await waitFor("the kept key is valid", async () => await sendStatus(address, KEPT_KEY) === 200);
    };

    const waitUntilInForce = (address: string, key: string, status: number): Promise<boolean> =>
        waitFor(`${address} answers ${status}`, async () => await sendStatus(address, key) === status);

    before(async () => {
        const address = await listenOnFreePort(engine.server);
        entry = JSON.stringify({ service: "s", address, zone: "a", version: "v1", slots: 8, state: "ready", models: [], seq: 1 });
    });

    beforeEach(async () => {
        store = createMetadataStoreServer();
        toClose = [store.close];
        storeAddress = await listenOnFreePort(store.server);
        store.put("servers/e1", entry);
        store.put("op/config", configBefore);
    });

    afterEach(() => toClose.forEach(close => close()));

    after(async () => {
        engine.close();
        await caller.close();
    });

    it("on an instance that starts without the store, when the first peer that answers is stale", async () => {
        const items = [
            { key: "servers/e1", value: entry, revision: STORE_REVISION - 1 },
            { key: "op/config", value: configBefore, revision: STORE_REVISION },
        ];
        const directory = { items, revision: STORE_REVISION };
        const stale = await createPeerStandIn({ configVersion: 4, configText: configBefore, directory });
        const fresh = await createPeerStandIn({ configVersion: 5, configText: configAfter });
        toClose.push(stale.close, fresh.close);
        const { caller: address } = await startGateway("127.0.0.1:1", { seeds: `${stale.address},${fresh.address}`, awaitReady: false });
        await expectNeverValid(address);
    });

    it("on an instance that starts without the store beside one that was frozen when the key was withdrawn", async () => {
        const [staleRelay, freshRelay] = [await createTcpRelay(storeAddress), await createTcpRelay(storeAddress)];
        toClose.push(staleRelay.close, freshRelay.close);
        const stale = await startGateway(staleRelay.address);
        const fresh = await startGateway(freshRelay.address, { seeds: stale.peer });
        await waitUntilInForce(stale.caller, WITHDRAWN_KEY, 200);
        stale.freeze();
        store.put("op/config", configAfter);
        await waitUntilInForce(fresh.caller, WITHDRAWN_KEY, 401);
        staleRelay.setCut(true);
        freshRelay.setCut(true);
        const seeds = `${stale.peer},${fresh.peer}`;
        const started = await startGateway("127.0.0.1:1", { seeds, awaitReady: false });
        stale.resume();
        await expectNeverValid(started.caller);
        await waitUntilInForce(stale.caller, WITHDRAWN_KEY, 401);
        expect(await watch(fresh.caller)).to.deep.equal({ statuses: [401], runs: 0 });
    });

    it("on an instance that starts when the store has come back older, with or without other instances in its settings", async () => {
        const copy = store.copy();
        const running = await startGateway(storeAddress);
        await waitUntilInForce(running.caller, WITHDRAWN_KEY, 200);
        store.put("op/config", configAfter);
        await waitUntilInForce(running.caller, WITHDRAWN_KEY, 401);
        store.restore(copy);
        const started = [
            await startGateway(storeAddress, { seeds: running.peer, awaitReady: false }),
            await startGateway(storeAddress, { awaitReady: false }),
        ];
        await Promise.all([...started.map(each => expectNeverValid(each.caller)), expectNeverValid(running.caller)]);
    });

    it("on instances that run when the store comes back older, or when an instance that was cut off from it returns", async () => {
        const copy = store.copy();
        const relay = await createTcpRelay(storeAddress);
        toClose.push(relay.close);
        const connected = await startGateway(storeAddress);
        const cutOff = await startGateway(relay.address, { seeds: connected.peer });
        await waitUntilInForce(cutOff.caller, WITHDRAWN_KEY, 200);
        relay.setCut(true);
        store.put("op/config", configAfter);
        const withdrawnAtMs = performance.now();
        await waitUntilInForce(connected.caller, WITHDRAWN_KEY, 401);
        await waitUntilInForce(cutOff.caller, WITHDRAWN_KEY, 401);
        expect(performance.now() - withdrawnAtMs).to.be.below(WITHDRAWN_MS);
        relay.setCut(false);
        expect(await watch(cutOff.caller)).to.deep.equal({ statuses: [401], runs: 0 });
        store.restore(copy);
        expect(await watch(cutOff.caller)).to.deep.equal({ statuses: [401], runs: 0 });
        expect(await watch(connected.caller, 500)).to.deep.equal({ statuses: [401], runs: 0 });
    });

    it("on an instance that was frozen while the key was withdrawn, later than 5 s after it runs again", async () => {
        const frozen = await startGateway(storeAddress);
        const other = await startGateway(storeAddress, { seeds: frozen.peer });
        await waitUntilInForce(frozen.caller, WITHDRAWN_KEY, 200);
        frozen.freeze();
        store.put("op/config", configAfter);
        await waitUntilInForce(other.caller, WITHDRAWN_KEY, 401);
        frozen.resume();
        const resumedAtMs = performance.now();
        await waitUntilInForce(frozen.caller, WITHDRAWN_KEY, 401);
        expect(performance.now() - resumedAtMs).to.be.below(WITHDRAWN_MS);
        expect(await watch(frozen.caller)).to.deep.equal({ statuses: [401], runs: 0 });
        expect(await watch(other.caller, 500)).to.deep.equal({ statuses: [401], runs: 0 });
    });

    it("and an instance that starts with neither the store nor a peer answers 503 to every key", async () => {
        const { caller: address } = await startGateway("127.0.0.1:1", { awaitReady: false });
        expect((await watch(address, 1_000)).statuses).to.deep.equal([503]);
        expect(await sendStatus(address, KEPT_KEY)).to.equal(503);
    });
});
