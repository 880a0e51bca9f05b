import { createServer } from "node:http";
import { clearInterval, setInterval } from "node:timers";

const BORN_MS = 1_700_000_000_000;
const MISDIRECTED = 421;
const UNAVAILABLE = 503;
const ACCEPTED = 202;

/**
 * Creates a stand-in of a model engine that streams events and sends copies of its runs to other engines. `copies` is what all
 * engines hold of each other's runs, by `ADDRESS/ID`. An engine with `drops` ends a run when its connection closes. `onEvent` is
 * called before each event and may have the stream's answer lost.
 */
export const createModelEngine = ({ id, models, slots, eventMs, eventCount, copies, drops, record, nowMs, onEvent, softwareVersion = "1" }) => {
    const runs = [];
    let address = "";
    let orderCount = 0;
    const listActive = () => runs.filter(run => run.endedAtMs === undefined);
    const describe = () => ({ stage: "both", models: models.map(name => ({ name, version: 1, adapters: [] })), in_flight: false, born: BORN_MS });

    const refuse = (res, requestId, status) => res.writeHead(status, { "x-request-id": requestId, "x-not-run": "1", "x-instance-id": id }).end();

    const startRun = (req, res, requestId) => {
        const run = {
            id: requestId,
            engine: id,
            startedAtMs: nowMs(),
            endedAtMs: undefined,
            event: Number(req.headers["last-event-id"] ?? "0"),
            isContinued: req.headers["kv-from"] !== undefined,
            isLost: false,
        };
        runs.push(run);
        const copyTo = req.headers["x-kv-backup"];
        const end = how => {
            clearInterval(timer);
            run.endedAtMs = nowMs();
            record(`engine ${id} ${how} ${run.id}, which it ${run.isContinued ? "went on with" : "ran"} from ${run.startedAtMs}, after event ${run.event}`);
        };
        res.writeHead(200, {
            "content-type": "text/event-stream",
            "x-request-id": requestId,
            "x-response-stamp": `${id}.${runs.length}`,
            "x-instance-id": id,
            "x-server-load": `${listActive().length},0,${slots}`,
            "x-weight-versions": "1",
        });
        const timer = setInterval(() => {
            onEvent?.(run, res);
            run.event += 1;
            if (copyTo !== undefined) {
                copies.set(`${copyTo}/${requestId}`, run.event);
            }
            if (!run.isLost) {
                res.write(`id: ${run.event}\ndata: ${run.event} of ${requestId}\n\n`);
            }
            if (run.event >= eventCount) {
                copies.delete(`${copyTo}/${requestId}`);
                end("completed");
                res.end();
            }
        }, eventMs);
        res.on("close", () => {
            if (run.endedAtMs === undefined && drops) {
                end("dropped");
            }
        });
    };

    const server = createServer((req, res) => {
        req.resume();
        req.on("end", () => {
            const requestId = req.headers["x-request-id"] ?? "";
            if (req.headers["x-expect-instance"] !== undefined && req.headers["x-expect-instance"] !== id) {
                refuse(res, requestId, MISDIRECTED);
            }
            else if (req.url === "/api/report") {
                const active = listActive();
                const report = { ...describe(), seq: orderCount, queued: 0, active: active.length, kv_used: 0, kv_total: 141_956, handles: 0, state: "ready" };
                res.end(JSON.stringify({ ...report, runs: active.map(run => [run.id, run.event, run.event, 5]) }));
            }
            else if (req.url === "/api/order") {
                orderCount += 1;
                res.writeHead(ACCEPTED).end();
            }
            else if (!models.includes(req.headers["x-model"])) {
                refuse(res, requestId, MISDIRECTED);
            }
            else if (listActive().length >= slots || (req.headers["kv-from"] !== undefined && !copies.has(req.headers["kv-from"]))) {
                refuse(res, requestId, UNAVAILABLE);
            }
            else {
                startRun(req, res, requestId);
            }
        });
    });
    server.keepAliveTimeout = 20_000;
    return {
        id,
        server,
        runs,
        setAddress: next => {
            address = next;
        },
        /** Returns the engine's entry in the store. */
        entry: (service, zone, state = "ready") =>
            JSON.stringify({ service, address, zone, version: softwareVersion, slots, state, cold_left_ms: 0, seq: 1, ...describe() }),
    };
};
