import { setTimeout as sleep } from "node:timers/promises";
import { expect } from "chai";
import { request } from "undici";
import { waitFor } from "../cluster/waitFor.js";
import { createMetadataStoreServer } from "../site/createMetadataStoreServer.js";
import { createUserEngineServer } from "../site/createUserEngineServer.js";
import { createKeyCaller } from "./support/createKeyCaller.js";
import { createOperatorConfig } from "./support/createOperatorConfig.js";
import { createWorkspaceConfig } from "./support/createWorkspaceConfig.js";
import { listenOnFreePort } from "./support/listenOnFreePort.js";
import { startGatewayProcess } from "./support/startGatewayProcess.js";

/** Times in ms after the store's acknowledgement by which added and withdrawn keys are in force. */
const ADDED_MS = 3_000;
const WITHDRAWN_MS = 5_000;
/** Time in ms after which an instance has its part of the retry budget: one and a half windows. */
const RETRY_BUDGET_MS = 6_500;
const CHECK_PAUSE_MS = 50;
const ALPHA_KEY = "alpha-secret-7f3c";
const BETA_KEY = "Beta Secret,9d21";
const NEW_KEY = "new-secret-1b5e";
const SECRETS = [ALPHA_KEY, BETA_KEY, NEW_KEY, "alpha-secret", "Beta Secret", "new-secret"];

describe("Gateway processes with workspaces in their configuration", () => {
    const store = createMetadataStoreServer();
    const engines = ["e1", "e2", "e3"].map(id => createUserEngineServer(id));
    const gateways: Awaited<ReturnType<typeof startGatewayProcess>>[] = [];
    const caller = createKeyCaller();
    const answers: string[] = [];
    let storeAddress = "";
    let version = 0;

    const writeConfig = (keys: Record<string, string[]>): void => {
        version += 1;
        store.put("op/config", JSON.stringify(createWorkspaceConfig(version, keys)));
    };

    const callerAddress = (index = 0): string => gateways[index]?.caller ?? "";

    const send = async (options: Parameters<typeof caller.send>[1], gateway = 0) => {
        const answer = await caller.send(callerAddress(gateway), options);
        answers.push(answer.text);
        return answer;
    };

    const countRuns = (): number => engines.reduce((sum, engine) => sum + engine.runs.length, 0);

    /** Returns the values of a header in each message that engines have received for callers' requests since the last reset. */
    const listHeaders = (name: string): string[][] => engines.flatMap(engine => engine.receivedHeaders)
        .filter(raw => raw.some(each => each.toLowerCase() === "x-expect-instance") && raw.some(each => /^r\d+$/.test(each)))
        .map(raw => raw.filter((_, index) => index % 2 === 1 && raw[index - 1]?.toLowerCase() === name));

    /** Waits until both gateways answer requests with a key by a status, and returns how long that took in ms. */
    const measure = async (key: string, status: number): Promise<number> => {
        const startedAtMs = performance.now();
        const isReached = async (): Promise<boolean> =>
            (await Promise.all(gateways.map((_, index) => send({ keys: [key] }, index)))).every(answer => answer.status === status);
        while (!await isReached() && performance.now() - startedAtMs < 2 * WITHDRAWN_MS) {
            await sleep(CHECK_PAUSE_MS);
        }
        return performance.now() - startedAtMs;
    };

    before(async () => {
        storeAddress = await listenOnFreePort(store.server);
        for (const engine of engines) {
            const address = await listenOnFreePort(engine.server);
            store.put(`servers/${engine.id}`, JSON.stringify({ service: "s", address, zone: "a", version: "v1", slots: 8, state: "ready", models: [], seq: 1 }));
        }
    });

    beforeEach(() => engines.forEach(engine => {
        engine.setBehavior("normal");
        engine.runs.splice(0);
        engine.receivedHeaders.splice(0);
    }));

    after(async () => {
        gateways.forEach(gateway => gateway.stop());
        engines.forEach(engine => engine.close());
        store.close();
        await caller.close();
    });

    it("answer 503 and never 401 while they have no configuration, also to requests with a key", async () => {
        gateways.push(await startGatewayProcess(storeAddress, { awaitReady: false }));
        gateways.push(await startGatewayProcess(storeAddress, { awaitReady: false }));
        for (const keys of [[], [ALPHA_KEY], ["unknown"], ["", ""]]) {
            expect((await send({ keys })).status).to.equal(503);
        }
        writeConfig({ alpha: [ALPHA_KEY], beta: [BETA_KEY] });
        await waitFor("both gateways run requests", async () =>
            (await Promise.all(gateways.map((_, index) => send({ keys: [ALPHA_KEY] }, index)))).every(answer => answer.status === 200));
        await sleep(RETRY_BUDGET_MS);
    });

    it("run no request without exactly one key of the configuration, and answer 401 at once", async () => {
        const joined = [`${ALPHA_KEY},${BETA_KEY}`, `${ALPHA_KEY}, ${ALPHA_KEY}`, "Beta Secret", "Beta  Secret,9d21", `Bearer ${ALPHA_KEY}`];
        const others = ["", "unknown", ALPHA_KEY.toUpperCase(), "__proto__", "constructor", "alpha"];
        const refused = [[], [ALPHA_KEY, ALPHA_KEY], [ALPHA_KEY, BETA_KEY], [ALPHA_KEY, ""], ...[...joined, ...others].map(key => [key])];
        for (const keys of refused) {
            for (const [path, method, body] of [["/safe/x", "GET", undefined], ["/unsafe/x", "POST", "x"], ["/stream/again/x", "POST", "x"]] as const) {
                const startedAtMs = performance.now();
                const { status, text } = await send({ keys, path, method, ...(body === undefined ? {} : { body }) });
                expect(status, `${keys.join("|")} ${path}`).to.equal(401);
                expect(JSON.parse(text)).to.include({ status: 401 });
                expect(performance.now() - startedAtMs).to.be.below(1_000);
            }
        }
        expect(countRuns()).to.equal(0);
        expect((await send({ headers: ["Authorization", ALPHA_KEY] })).status).to.equal(401);
    });

    it("answer 404 to an unknown route and 431 to long headers before they look at the key", async () => {
        expect((await send({ host: "other.example" })).status).to.equal(404);
        expect((await send({ path: "/nowhere", keys: [ALPHA_KEY] })).status).to.equal(404);
        expect((await send({ headers: ["x-long", "x".repeat(5_000)] })).status).to.equal(431);
    });

    it("send targets the workspace's name exactly once and no key, whatever the caller sent", async () => {
        const forged = ["X-Tenant", "forged", "x-tenant", "beta", "X_Tenant", "forged", "Connection", "X-Tenant, Api-Key"];
        expect((await send({ keys: [ALPHA_KEY], headers: forged })).status).to.equal(200);
        expect((await send({ keys: [BETA_KEY], headers: forged, method: "POST", path: "/unsafe/x", body: "x" })).status).to.equal(200);
        expect(listHeaders("x-tenant")).to.have.deep.members([["alpha"], ["beta"]]);
        expect(listHeaders("api-key")).to.deep.equal([[], []]);
        expect(listHeaders("x_tenant")).to.deep.equal([[], []]);
    });

    it("run requests on public routes without a key, for the workspace of a valid key and for none otherwise", async () => {
        const forged = ["X-Tenant", "forged"];
        for (const keys of [[], [""], ["unknown"], [ALPHA_KEY, ALPHA_KEY], [ALPHA_KEY]]) {
            expect((await send({ path: "/public/x", keys, headers: forged })).status).to.equal(200);
        }
        expect(listHeaders("x-tenant")).to.have.deep.members([[], [], [], [], ["alpha"]]);
        expect(listHeaders("api-key").flat()).to.deep.equal([]);
    });

    it("send the name once and no key with retries, resumed streams and runs that go on at a copy", async () => {
        const forged = ["X-Tenant", "forged"];
        const sendAll = (options: Parameters<typeof send>[0]) =>
            Promise.all(Array.from({ length: 6 }, () => send({ ...options, keys: [ALPHA_KEY], headers: [...forged, "X-Token-Count", "100,200"] })));
        engines[0]?.setBehavior("full");
        let sent = 0;
        await waitFor("a request was sent to the full target and then to another one", async () => {
            const statuses = (await sendAll({})).map(each => each.status);
            sent += statuses.length;
            expect(statuses).to.deep.equal([200, 200, 200, 200, 200, 200]);
            return listHeaders("x-tenant").length > sent;
        });
        // Each engine cuts its streams in turn, since one that has failed gets no requests for a while.
        for (const [engine, path, header] of [[1, "/stream/again/x", "last-event-id"], [2, "/stream/copied/x", "kv-from"]] as const) {
            engines.forEach((each, index) => each.setBehavior(index === engine ? "cutStream" : "normal"));
            await waitFor(`a stream on ${path} was resumed`, async () => {
                const streams = await sendAll({ method: "POST", path, body: "x" });
                return listHeaders(header).flat().length > 0 && streams.every(({ text }) => (text.match(/data: event \d/g) ?? []).length === 5);
            });
        }
        expect([...new Set(listHeaders("x-tenant").map(each => each.join()))]).to.deep.equal(["alpha"]);
        expect(listHeaders("api-key").flat()).to.deep.equal([]);
    }).timeout(120_000);

    it("put added keys in force within 3 s and withdrawn ones within 5 s, on kept connections too", async () => {
        const keptCaller = createKeyCaller(true);
        try {
            expect((await keptCaller.send(callerAddress(), { keys: [ALPHA_KEY] })).status).to.equal(200);
            writeConfig({ alpha: [ALPHA_KEY, NEW_KEY], beta: [BETA_KEY] });
            expect(await measure(NEW_KEY, 200), "added").to.be.below(ADDED_MS);
            writeConfig({ alpha: [NEW_KEY], beta: [BETA_KEY] });
            expect(await measure(ALPHA_KEY, 401), "withdrawn").to.be.below(WITHDRAWN_MS);
            engines.forEach(engine => engine.runs.splice(0));
            expect((await keptCaller.send(callerAddress(), { keys: [ALPHA_KEY] })).status).to.equal(401);
            expect(countRuns()).to.equal(0);
            expect((await keptCaller.send(callerAddress(), { keys: [NEW_KEY] })).status).to.equal(200);
            expect(keptCaller.connectionCount()).to.equal(1);
        }
        finally {
            await keptCaller.close();
        }
    });

    it("refuse a waiting request with 401 when its key is withdrawn, and don't run it", async () => {
        // No target holds the model, so that the request waits for it until shortly before its deadline.
        const waiting = send({ keys: [NEW_KEY], headers: ["X-Model", "m"] });
        const startedAtMs = performance.now();
        await sleep(200);
        writeConfig({ alpha: [ALPHA_KEY], beta: [BETA_KEY] });
        const { status, text } = await waiting;
        expect(status).to.equal(401);
        expect(text).to.include("withdrawn");
        expect(performance.now() - startedAtMs).to.be.below(1_400);
        expect(countRuns()).to.equal(0);
        await measure(ALPHA_KEY, 200);
    });

    it("keep the last configuration if a new one is malformed, and don't show its keys in the reason", async () => {
        const text = JSON.stringify(createWorkspaceConfig(version + 1, { alpha: [ALPHA_KEY] }));
        for (const broken of [text.slice(0, text.indexOf(ALPHA_KEY) + 5), text.replace(`"${ALPHA_KEY}"`, `"${ALPHA_KEY}`), text.replace(`["${ALPHA_KEY}"]`, `"${ALPHA_KEY}"`)]) {
            store.put("op/config", broken);
            await sleep(300);
        }
        expect((await send({ keys: [ALPHA_KEY] })).status).to.equal(200);
        await waitFor("the log tells of the broken documents", async () =>
            gateways.every(gateway => gateway.log.filter(each => each.event === "configBroken").length >= 3));
    });

    it("count answers by workspace, link a 401 to its reason by the request's id, and show a key nowhere", async () => {
        const { id } = await send({ keys: ["unknown"] });
        await send({ keys: [BETA_KEY] });
        const pages = await Promise.all(gateways.map(async each => (await request(`http://${each.metrics}/metrics`)).body.text()));
        expect(pages[0]).to.match(/medlarlb_workspace_answers_total\{workspace="alpha",status="2xx"\} \d+/);
        expect(pages[0]).to.match(/medlarlb_workspace_answers_total\{workspace="",status="4xx"\} \d+/);
        const log = gateways[0]?.log ?? [];
        const find = (): Record<string, unknown> | undefined => log.find(each => each.event === "rejected" && each.request === id);
        await waitFor("the refusal is in the log", async () => find() !== undefined);
        expect(find()).to.include({ status: 401, reason: "the API key belongs to no workspace" });
        await sleep(500);
        const shown = [...pages, ...answers, ...gateways.map(gateway => JSON.stringify(gateway.log))].join("\n");
        expect(SECRETS.filter(secret => shown.includes(secret))).to.deep.equal([]);
        expect(shown).to.include("alpha");
    });

    it("pass all headers as before once the configuration has no workspaces", async () => {
        version += 1;
        store.put("op/config", JSON.stringify(createOperatorConfig(version)));
        await waitFor("no key is needed", async () => (await send({})).status === 200);
        engines.forEach(engine => engine.receivedHeaders.splice(0));
        const headers = ["X-Tenant", "own", "X-Tenant", "again", "X_Tenant", "third"];
        expect((await send({ keys: ["any", "other"], headers })).status).to.equal(200);
        expect(listHeaders("x-tenant")).to.deep.equal([["own", "again"]]);
        expect(listHeaders("api-key")).to.deep.equal([["any", "other"]]);
        expect(listHeaders("x_tenant")).to.deep.equal([["third"]]);
    });
});
