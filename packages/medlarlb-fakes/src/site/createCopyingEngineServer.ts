import { createServer } from "node:http";
import type { IncomingMessage, ServerResponse } from "node:http";

interface EngineOptions {
    id: string;
    model: string;
    eventCount: number;
    eventIntervalMs: number;
    /** Age in ms of what its reports show. */
    reportAgeMs: number;
    /** Whether the engine ends a run together with its connection. */
    drops: boolean;
    /** Copies of runs at all engines, as `ADDRESS/ID`. */
    copies: Set<string>;
}

interface Run {
    id: string;
    fromEvent: number;
    isContinued: boolean;
    startedAtMs: number;
    endedAtMs: number | undefined;
}

/** Creates a stand-in for a model engine that streams events, sends copies of its runs to other engines, and lists its runs. */
export const createCopyingEngineServer = (options: EngineOptions) => {
    const { id, model, eventCount, eventIntervalMs, reportAgeMs, copies } = options;
    const runs: Run[] = [];
    /** Event before which the connection of a stream is reset. */
    let resetBeforeEvent = Number.POSITIVE_INFINITY;
    /** Whether the engine answers 204 to what it should continue. */
    let continuesNothing = false;

    const refuse = (res: ServerResponse, status: number, requestId: string): void =>
        void res.writeHead(status, { "x-request-id": requestId, "x-not-run": "1", "x-instance-id": id }).end();

    const startRun = (req: IncomingMessage, res: ServerResponse, requestId: string): void => {
        const copyTo = req.headers["x-kv-backup"];
        const fromEvent = Number(req.headers["last-event-id"] ?? "0") + 1;
        const isContinued = req.headers["kv-from"] !== undefined;
        const run: Run = { id: requestId, fromEvent, isContinued, startedAtMs: performance.now(), endedAtMs: undefined };
        runs.push(run);
        res.writeHead(200, { "content-type": "text/event-stream", "x-request-id": requestId, "x-response-stamp": `stamp-${id}` });
        const end = (): void => {
            clearInterval(timer);
            run.endedAtMs = performance.now();
            copies.delete(`${String(copyTo)}/${requestId}`);
        };
        let event = fromEvent;
        const timer = setInterval(() => {
            if (!isContinued && event === resetBeforeEvent) {
                res.socket?.resetAndDestroy();
            }
            copies.add(`${String(copyTo)}/${requestId}`);
            if (!res.destroyed) {
                res.write(`id: ${event}\ndata: event ${event} of v1\n\n`);
            }
            event += 1;
            if (event > eventCount) {
                end();
                res.end();
            }
        }, eventIntervalMs);
        res.on("close", () => {
            if (options.drops) {
                clearInterval(timer);
                run.endedAtMs ??= performance.now();
            }
        });
    };

    /** Lists the runs that the engine had some time ago. */
    const listRuns = (): Run[] => {
        const atMs = performance.now() - reportAgeMs;
        return runs.filter(run => run.startedAtMs <= atMs && (run.endedAtMs ?? Number.POSITIVE_INFINITY) > atMs);
    };

    const server = createServer((req, res) => {
        req.resume();
        req.on("end", () => {
            const requestId = String(req.headers["x-request-id"] ?? "");
            const copy = req.headers["kv-from"];
            if (req.headers["x-expect-instance"] !== id) {
                refuse(res, 421, requestId);
            }
            else if (req.url === "/api/report") {
                const report = { models: [{ name: model, version: 1, adapters: [] }], in_flight: false, seq: 0 };
                res.end(JSON.stringify({ ...report, runs: listRuns().map(run => [run.id, 100, 1, 5]) }));
            }
            else if (copy !== undefined && !copies.has(String(copy))) {
                refuse(res, 503, requestId);
            }
            else if (copy !== undefined && continuesNothing) {
                res.writeHead(204, { "x-request-id": requestId, "x-response-stamp": `stamp-${id}` }).end();
            }
            else {
                startRun(req, res, requestId);
            }
        });
    });
    return {
        id,
        server,
        runs,
        /** Has the connection of each new stream reset before an event; `undefined` ends it. */
        resetBefore: (event: number | undefined): void => {
            resetBeforeEvent = event ?? Number.POSITIVE_INFINITY;
        },
        setContinuesNothing: (next: boolean): void => {
            continuesNothing = next;
        },
        /** Ends the engine, with all its runs. */
        close: (): void => {
            server.close();
            server.closeAllConnections();
        },
    };
};
