import { createServer } from "node:http";
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import { setTimeout as sleep } from "node:timers/promises";
import { readJson } from "../shared/readJson.js";
import { sendJson } from "../shared/sendJson.js";
import { createKvStore } from "./createKvStore.js";
import { createWeightStore } from "./createWeightStore.js";
import type { KeyEvent } from "./keyEvent.js";
import type { KvTxnRequest } from "./kvTxnRequest.js";

/** Faults that tests set at `/stand-in/faults`. */
interface Faults {
    /** The connections of KV calls are closed without an effect, and open watches are closed. */
    down: boolean;
    /** Number of next transactions that take effect and whose connection is closed before the response. */
    loseAnswers: number;
    /** Delay before each KV call. */
    delayMs: number;
    /** Watches stay open but deliver nothing. */
    muteWatches: boolean;
    /** Ids of instances whose calls get no response. The id is the user agent of a call. */
    cutInstances: string[];
}

const LEASE_CHECK_MS = 100;
const DEFAULT_LOADS_PER_SECOND = 50;
const DEFAULT_FULL_SPEED_LOADS = 10;
const DEFAULT_BYTES_PER_SECOND = 20_000_000_000;

/** Creates the server of the platform stand-in: KV service (etcd's JSON gateway), instance list and weight store on one port. */
export const createPlatformServer = (): Server => {
    const store = createKvStore(Date.now);
    const weightStore = createWeightStore({
        loadsPerSecond: DEFAULT_LOADS_PER_SECOND,
        fullSpeedLoads: DEFAULT_FULL_SPEED_LOADS,
        bytesPerSecond: DEFAULT_BYTES_PER_SECOND,
    });
    const instances = new Map<string, Record<string, unknown>>();
    const calls: Record<string, number> = {};
    const faults: Faults = { down: false, loseAnswers: 0, delayMs: 0, muteWatches: false, cutInstances: [] };
    const openWatches = new Set<ServerResponse>();

    const isFromCutInstance = (req: IncomingMessage): boolean => faults.cutInstances.includes(req.headers["user-agent"] ?? "");

    /** Serves a watch: sends the past events from the start revision, then each new event. */
    const serveWatch = (body: Record<string, unknown>, res: ServerResponse): void => {
        const create = body.create_request as { key: string; range_end?: string; start_revision?: string };
        const start = Number(create.start_revision ?? "0");
        const send = (result: unknown): void => {
            if (!faults.muteWatches) {
                res.write(`${JSON.stringify({ result })}\n`);
            }
        };
        const sendEvents = (events: KeyEvent[], revision: number): void => {
            const matching = events.filter(event => store.matches(event, create.key, create.range_end));
            if (matching.length > 0) {
                send({ header: { revision: String(revision) }, events: matching.map(store.toWireEvent) });
            }
        };
        res.writeHead(200, { "content-type": "application/json" });
        res.flushHeaders();
        openWatches.add(res);
        send({ header: { revision: String(store.revision()) }, created: true });
        if (start > 0 && start <= store.compactedRevision()) {
            send({ canceled: true, compact_revision: String(store.compactedRevision()) });
            res.end();
            return;
        }
        for (const entry of store.history().filter(each => start > 0 && each.revision >= start)) {
            sendEvents(entry.events, entry.revision);
        }
        const unsubscribe = store.listen(sendEvents);
        res.on("close", () => {
            unsubscribe();
            openWatches.delete(res);
        });
    };

    const serveKv = async (path: string, req: IncomingMessage, res: ServerResponse): Promise<void> => {
        const body = await readJson(req);
        await sleep(faults.delayMs);
        if (faults.down || isFromCutInstance(req)) {
            req.socket.destroy();
            return;
        }
        const answer = executeKvCall(path, body, res);
        if (answer === undefined) {
            return;
        }
        if (path === "/v3/kv/txn" && faults.loseAnswers > 0) {
            faults.loseAnswers -= 1;
            req.socket.destroy();
            return;
        }
        sendJson(res, 200, answer);
    };

    /** Executes a KV call and returns the body of its response, or undefined for a watch, which responds by itself. */
    const executeKvCall = (path: string, body: Record<string, unknown>, res: ServerResponse): unknown => {
        switch (path) {
            case "/v3/kv/range":
                return store.range(body.key as string, body.range_end as string | undefined);
            case "/v3/kv/txn":
                return store.txn(body as KvTxnRequest);
            case "/v3/kv/compaction":
                store.compact(Number(body.revision));
                return {};
            case "/v3/lease/grant":
                return store.grantLease(Number(body.TTL));
            case "/v3/lease/keepalive":
                return store.keepLeaseAlive(String(body.ID));
            case "/v3/lease/revoke":
                store.revokeLease(String(body.ID));
                return {};
            case "/v3/watch":
                serveWatch(body, res);
                return undefined;
            default:
                return {};
        }
    };

    /** Changes the given faults and closes the open watches if the KV service is down. */
    const setFaults = (body: Record<string, unknown>): void => {
        Object.assign(faults, body);
        if (faults.down) {
            for (const res of openWatches) {
                res.destroy();
            }
        }
    };

    const serveInstances = async (url: URL, req: IncomingMessage, res: ServerResponse): Promise<void> => {
        const id = url.pathname.slice("/instances/".length);
        if (req.method === "PUT") {
            instances.set(id, { ...await readJson(req), id });
        }
        if (req.method === "DELETE") {
            instances.delete(id);
        }
        if (isFromCutInstance(req)) {
            req.socket.destroy();
            return;
        }
        sendJson(res, 200, { instances: [...instances.values()] });
    };

    const route = async (req: IncomingMessage, res: ServerResponse): Promise<void> => {
        const url = new URL(req.url ?? "/", "http://127.0.0.1");
        calls[url.pathname] = (calls[url.pathname] ?? 0) + 1;
        if (url.pathname.startsWith("/v3/")) {
            await serveKv(url.pathname, req, res);
        }
        else if (url.pathname.startsWith("/instances")) {
            await serveInstances(url, req, res);
        }
        else if (url.pathname === "/weights") {
            await weightStore.fetchWeights(Number(url.searchParams.get("bytes") ?? "0"));
            sendJson(res, 200, { fetches: weightStore.fetchCount() });
        }
        else if (url.pathname === "/stand-in/faults") {
            setFaults(await readJson(req));
            sendJson(res, 200, faults);
        }
        else {
            sendJson(res, 200, { calls, revision: store.revision() });
        }
    };

    const server = createServer((req, res) => {
        route(req, res).catch(() => res.destroy());
    });
    const timer = setInterval(() => store.expireLeases(), LEASE_CHECK_MS);
    server.on("close", () => clearInterval(timer));
    return server;
};
