import { setTimeout as sleep } from "node:timers/promises";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { request } from "undici";
import { waitFor } from "../../cluster/waitFor.js";
import { createMetadataStoreServer } from "../../site/createMetadataStoreServer.js";
import { createUserEngineServer } from "../../site/createUserEngineServer.js";
import { createOperatorConfig } from "./createOperatorConfig.js";
import { createTcpRelay } from "./createTcpRelay.js";
import { findReturnFaults } from "./findReturnFaults.js";
import { listenOnFreePort } from "./listenOnFreePort.js";
import type { ReturnRecord } from "./returnRecord.js";
import { startGatewayProcess } from "./startGatewayProcess.js";

interface Options {
    seed: number;
    /** Largest number of changes that a return loses. */
    maxLost: number;
}

const GATEWAYS = 2;
const TARGETS = 4;
const REQUEST_PAUSE_MS = 25;
const FIRST_VERSION = 4;
/** Times in ms after the return: what the operator and targets wrote is written again, the trouble ends, and the round ends. */
const WRITTEN_AGAIN_MS = 1_500;
const TROUBLE_END_MS = 3_300;
const ROUND_END_MS = 9_500;

const createDocument = (version: number, routeVersions: readonly number[]) => {
    const config = createOperatorConfig(version);
    const added = routeVersions.map(each => ({ ...config.routes[0], name: `v${each}`, prefix: `/v${each}/` }));
    return { ...config, routes: [...config.routes, ...added] };
};

/** Documents with a route of their own that can't be decoded. */
const brokenDocuments: ((version: number) => string)[] = [
    version => JSON.stringify(createDocument(version, [version])).slice(0, -20),
    version => JSON.stringify({ ...createDocument(version, [version]), services: "none" }),
    version => JSON.stringify({ ...createDocument(version, [version]), version: String(version) }),
    version => JSON.stringify({ ...createDocument(version, [version]), limits: undefined }),
];

/**
 * Plays rounds with two gateway processes over a store that goes away and comes back from a copy, while configurations change and
 * targets leave. In some, a process is frozen, started again, or cut off from the store over the return.
 */
export const createReturnRounds = async ({ seed, maxLost }: Options) => {
    const generator = xoroshiro128plus(seed);
    const random = (): number => uniformFloat64(generator);
    const pick = (count: number): number => Math.floor(random() * count);
    const now = (): number => performance.now();
    const store = createMetadataStoreServer();
    const storeAddress = await listenOnFreePort(store.server);
    const engines = Array.from({ length: TARGETS }, (_, index) => createUserEngineServer(`e${index}`));
    const addresses = await Promise.all(engines.map(engine => listenOnFreePort(engine.server)));
    const relays = await Promise.all(Array.from({ length: GATEWAYS }, () => createTcpRelay(storeAddress)));
    const gateways: (Awaited<ReturnType<typeof startGatewayProcess>> & { boot: number })[] = [];
    const record: Omit<ReturnRecord, "runs"> = { sent: [], disturbances: [], versions: [], brokenVersions: [], leavings: [] };
    let boot = 0;
    let incarnation = 0;
    let version = FIRST_VERSION;
    let sequence = 0;

    const disturb = (gateway: number | undefined, isStop: boolean): { toMs: number } => {
        const disturbance = { gateway, isStop, fromMs: now(), toMs: Number.POSITIVE_INFINITY };
        record.disturbances.push(disturbance);
        return disturbance;
    };

    /** Writes the latest version, in which each valid one has a route of its own. */
    const writeLatest = (): void => {
        const routeVersions = record.versions.map(each => each.version);
        store.put("op/config", JSON.stringify(createDocument(routeVersions.at(-1) ?? version, routeVersions)));
    };

    const writeConfig = (): void => {
        version += 1 + pick(3);
        record.versions.push({ version, acknowledgedAtMs: now() });
        writeLatest();
    };

    const writeBroken = (): void => {
        version += 1;
        record.brokenVersions.push(version);
        store.put("op/config", brokenDocuments[pick(brokenDocuments.length)]?.(version) ?? "");
    };

    const writeEntry = (index: number, state: string): void => store.put(`servers/e${index}`, JSON.stringify({
        service: "s",
        address: addresses[index],
        zone: "a",
        slots: 8,
        state,
        models: [],
        seq: 1,
        born: incarnation,
    }));

    /** Has a target leave in one of three ways. Returns when and how its entry becomes right again after a return of the store. */
    const leave = (index: number): { afterMs: number; write: () => void } => {
        const way = (["draining", "removed", "answers"] as const)[pick(3)] ?? "draining";
        record.leavings.push({ targetId: `e${index}`, atMs: now(), way });
        if (way === "draining") {
            writeEntry(index, "draining");
            return { afterMs: pick(WRITTEN_AGAIN_MS), write: () => writeEntry(index, "draining") };
        }
        if (way === "removed") {
            store.remove(`servers/e${index}`);
            return { afterMs: pick(WRITTEN_AGAIN_MS), write: () => store.remove(`servers/e${index}`) };
        }
        engines[index]?.setBehavior("leaving");
        return { afterMs: pick(WRITTEN_AGAIN_MS), write: () => writeEntry(index, "ready") };
    };

    const sendRequest = async (gateway: number, path: string): Promise<number> => {
        sequence += 1;
        const id = `s${seed}-${sequence}`;
        const { caller, boot: processBoot } = gateways[gateway] ?? { caller: "", boot: 0 };
        const sentAtMs = now();
        const headers = { "host": "site.example", "x-request-id": id, "x-deadline-ms": "2000" };
        const status = await request(`http://${caller}${path}`, { headers }).then(async res => res.body.dump().then(() => res.statusCode), () => 0);
        record.sent.push({ id, gateway, boot: processBoot, path, sentAtMs, doneAtMs: now(), status });
        return status;
    };

    /** Sends requests by a gateway, on routes of the latest versions and of broken ones, until the round ends. */
    const sendUntil = async (gateway: number, endMs: () => number): Promise<void> => {
        for (let count = 0; now() < endMs(); count += 1) {
            const asked = count % 3 === 0 ? record.brokenVersions.slice(-2) : record.versions.slice(-3).map(each => each.version);
            const path = count % 3 === 1 || asked.length === 0 ? "/safe/x" : `/v${asked[count % asked.length]}/x`;
            await sendRequest(gateway, path);
            await sleep(REQUEST_PAUSE_MS);
        }
    };

    const startGateway = async (gateway: number): Promise<void> => {
        boot += 1;
        gateways[gateway] = { ...await startGatewayProcess(relays[gateway]?.address ?? ""), boot };
    };

    const prepareRound = async (): Promise<void> => {
        incarnation += 1;
        engines.forEach(engine => engine.setBehavior("normal"));
        engines.forEach((_, index) => writeEntry(index, "ready"));
        writeConfig();
        for (let index = gateways.length; index < GATEWAYS; index += 1) {
            await startGateway(index);
        }
        const isInForce = async (): Promise<boolean> =>
            (await Promise.all(gateways.map((_, index) => sendRequest(index, `/v${version}/x`)))).every(status => status === 200);
        await waitFor("the latest version is in force", isInForce);
        engines.forEach(engine => engine.runs.splice(0));
        Object.assign(record, { sent: [], leavings: [], disturbances: record.disturbances.filter(each => each.toMs > now()) });
    };

    /** Plays one round and returns what it broke. */
    const playRound = async (): Promise<string[]> => {
        await prepareRound();
        let endMs = Number.POSITIVE_INFINITY;
        const senders = gateways.map((_, index) => sendUntil(index, () => endMs));
        await sleep(300);
        const copy = store.copy();
        const corrections: ReturnType<typeof leave>[] = [];
        const lost = random() < 0.5 ? pick(Math.min(maxLost, 14)) : pick(maxLost);
        const actions = [
            () => void corrections.push(leave(0)),
            () => void corrections.push(leave(1)),
            ...Array.from({ length: pick(3) }, () => writeConfig),
            ...(random() < 0.4 ? [writeBroken] : []),
            () => Array.from({ length: lost }, (_, index) => store.put("filler", String(index))),
        ];
        for (const { action } of actions.map(action => ({ action, rank: random() })).sort((a, b) => a.rank - b.rank)) {
            action();
            await sleep(random() * 300);
        }
        const trouble = (["freeze", "cut", "restart", "none"] as const)[pick(4)];
        const troubled = pick(GATEWAYS);
        const troubling = trouble === "freeze" || trouble === "cut" ? disturb(troubled, trouble === "freeze") : undefined;
        if (trouble === "freeze") {
            gateways[troubled]?.freeze();
        }
        const away = disturb(undefined, false);
        relays.forEach(relay => relay.setCut(true));
        await sleep(random() * 1_500);
        store.restore(copy);
        relays.forEach((relay, index) => relay.setCut(trouble === "cut" && index === troubled));
        away.toMs = now();
        const returnedAtMs = now();
        const after = async (delayMs: number, action: () => unknown): Promise<void> => {
            await sleep(Math.max(0, returnedAtMs + delayMs - now()));
            await action();
        };
        const restart = async (): Promise<void> => {
            const restarting = disturb(troubled, true);
            gateways[troubled]?.stop();
            await startGateway(troubled);
            restarting.toMs = now();
        };
        await Promise.all([
            after(pick(WRITTEN_AGAIN_MS), writeLatest),
            ...corrections.map(each => after(each.afterMs, each.write)),
            ...Array.from({ length: pick(3) }, () => after(WRITTEN_AGAIN_MS + pick(1_500), writeConfig)),
            ...random() < 0.3 ? [after(WRITTEN_AGAIN_MS + pick(1_500), writeBroken)] : [],
            after(pick(2 * TROUBLE_END_MS), () => leave(2)),
            trouble === "restart" ? after(pick(1_000), restart) : undefined,
            after(TROUBLE_END_MS, () => {
                gateways[troubled]?.resume();
                relays[troubled]?.setCut(false);
                Object.assign(troubling ?? {}, { toMs: now() });
            }),
        ]);
        endMs = returnedAtMs + ROUND_END_MS;
        await Promise.all(senders);
        const runs = engines.flatMap(engine => engine.runs.map(({ requestId }) => ({ targetId: engine.id, requestId })));
        const faults = findReturnFaults({ ...record, runs });
        return faults.map(fault => `${trouble} ${troubled}, ${lost} lost, returned at ${Math.round(returnedAtMs)}: ${fault}`);
    };

    return {
        playRound,
        /** Returns what the gateways have logged of targets and of the store, the latest last. */
        logs: (): string[] => gateways.flatMap((gateway, index) => gateway.log
            .filter(each => /^(target(Found|State|Gone|Ended)|store|directory|dutyChanged)/.test(String(each.event)))
            .map(each => `gateway ${index}.${gateway.boot} ${JSON.stringify(each)}`)),
        stop: (): void => {
            gateways.forEach(gateway => gateway.stop());
            relays.forEach(relay => relay.close());
            engines.forEach(engine => engine.close());
            store.close();
        },
    };
};
