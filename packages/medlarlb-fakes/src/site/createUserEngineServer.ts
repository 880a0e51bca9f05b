import { createServer } from "node:http";
import type { IncomingMessage, ServerResponse } from "node:http";

/**
 * How the engine treats the next requests.
 * - `normal`: answers.
 * - `full`: refuses them as not run.
 * - `pausing`: refuses them as not run, and asks for a pause.
 * - `leaving`: answers, and says in all answers that it leaves.
 * - `cut`: resets the connection after the run has started.
 * - `cutStream`: resets each stream in the middle of its second event.
 * - `cutSome`: resets every second stream, further on each time, in the middle of an event.
 * - `failing`: answers with status 500.
 * - `failingResume`: as `cutStream`, and answers a resumed stream with status 500.
 * - `other`: answers with the id of another request.
 * - `ending`: ends, as a process that crashes does, when it has started a request whose path ends with `CRASHING_PATH_END`.
 */
type EngineBehavior = "ending" | "leaving" | "normal" | "pausing" | "full" | "cut" | "cutStream" | "cutSome" | "failing" | "failingResume" | "other";

const CRASHING_PATH_END = "/crash";
const PAUSE_SECONDS = 5;

interface EngineOptions {
    /** Version of its software, which the events of its streams name. */
    softwareVersion?: string;
    eventCount?: number;
    eventIntervalMs?: number;
}

/** Creates a stand-in for an engine of the users' platform. It answers with its id and stamp, streams events, and counts orders. */
export const createUserEngineServer = (id: string, { softwareVersion, eventCount = 5, eventIntervalMs = 20 }: EngineOptions = {}) => {
    /** Requests that the engine has run. */
    const runs: { requestId: string; method: string; path: string; body: string }[] = [];
    /** Raw headers of all messages that the engine has received, of those too that it hasn't run. */
    const receivedHeaders: string[][] = [];
    let behavior: EngineBehavior = "normal";
    /** Requests per second that its answers say it takes from all instances together. */
    let limitPerSecond: number | undefined;
    let orderCount = 0;
    let refusals = 0;
    let delayMs = 0;
    let streamCount = 0;
    /** Ids of the requests whose streams it is sending. They end with their connections. */
    const openStreams = new Set<string>();
    let version = softwareVersion;

    /** Sends the events of a stream from `firstEvent` on. */
    const sendEventStream = (res: ServerResponse, requestId: string, firstEvent: number): void => {
        let event = firstEvent;
        openStreams.add(requestId);
        streamCount += 1;
        const runVersion = version === undefined ? "" : ` of ${version}`;
        const cutAtEvent = streamCount % 2 === 0 ? firstEvent + 1 + streamCount % 5 : Number.POSITIVE_INFINITY;
        res.writeHead(200, { "content-type": "text/event-stream" });
        const timer = setInterval(() => {
            const isCutEarly = ["cutStream", "failingResume"].includes(behavior) && event > firstEvent;
            if (isCutEarly || (behavior === "cutSome" && event >= cutAtEvent)) {
                clearInterval(timer);
                res.write(`id: ${event}\nda`);
                res.socket?.resetAndDestroy();
                return;
            }
            res.write(`id: ${event}\ndata: event ${event}${runVersion}\n\n`);
            event += 1;
            if (event > eventCount) {
                clearInterval(timer);
                res.end();
            }
        }, eventIntervalMs);
        res.on("close", () => {
            clearInterval(timer);
            openStreams.delete(requestId);
        });
    };

    const executeRequest = (req: IncomingMessage, res: ServerResponse, body: string): void => {
        const requestId = String(req.headers["x-request-id"]);
        if (limitPerSecond !== undefined) {
            res.setHeader("server-limit", String(limitPerSecond));
        }
        if (behavior === "pausing") {
            refusals += 1;
            res.writeHead(503, { "x-not-run": "1", "x-request-id": requestId, "retry-after": String(PAUSE_SECONDS) }).end();
            return;
        }
        if (behavior === "full") {
            res.writeHead(503, { "x-not-run": "1", "x-request-id": requestId }).end();
            return;
        }
        if (req.headers["x-expect-instance"] !== id) {
            res.writeHead(421, { "x-instance-id": id, "x-request-id": requestId }).end();
            return;
        }
        runs.push({ requestId, method: req.method ?? "", path: req.url ?? "", body });
        if (behavior === "cut") {
            res.socket?.resetAndDestroy();
            return;
        }
        if (behavior === "ending" && req.url?.endsWith(CRASHING_PATH_END) === true) {
            close();
            return;
        }
        res.setHeader("x-request-id", behavior === "other" ? "another" : requestId);
        res.setHeader("x-response-stamp", `stamp-${id}`);
        const isResume = req.headers["last-event-id"] !== undefined;
        if (behavior === "failing" || (behavior === "failingResume" && isResume)) {
            res.writeHead(500).end("broken");
            return;
        }
        if (req.url?.startsWith("/stream/") === true) {
            sendEventStream(res, requestId, Number(req.headers["last-event-id"] ?? "0") + 1);
            return;
        }
        const answer = (): void => void res.writeHead(200, { "content-type": "text/plain" }).end(`answer of ${id}`);
        if (delayMs === 0) {
            answer();
            return;
        }
        setTimeout(answer, delayMs);
    };

    const server = createServer((req, res) => {
        const chunks: Buffer[] = [];
        receivedHeaders.push(req.rawHeaders);
        req.on("data", chunk => chunks.push(chunk as Buffer));
        if (behavior === "leaving") {
            res.setHeader("server-leaving", "1");
        }
        req.on("end", () => {
            if (req.url === "/api/report") {
                const streams = [...openStreams].map(requestId => [requestId, 0, 0, 5]);
                res.end(JSON.stringify({ models: [], in_flight: false, seq: orderCount, runs: streams }));
                return;
            }
            if (req.url === "/api/order") {
                orderCount += 1;
                res.writeHead(202).end();
                return;
            }
            executeRequest(req, res, Buffer.concat(chunks).toString());
        });
    });

    const close = (): void => {
        server.close();
        server.closeAllConnections();
    };

    return {
        id,
        server,
        runs,
        receivedHeaders,
        /** Returns the number of requests that were refused with a pause. */
        refusals: (): number => refusals,
        setBehavior: (next: EngineBehavior): void => {
            behavior = next;
        },
        /** Sets the time in ms that the next answers take, except streams. */
        setDelay: (nextMs: number): void => {
            delayMs = nextMs;
        },
        /** Has the engine serve with another version of its software, as after a restart: its streams are cut. */
        restart: (nextVersion: string): void => {
            version = nextVersion;
            server.closeAllConnections();
        },
        /** Has the engine name a limit in all answers; `undefined` ends it. */
        setLimit: (perSecond: number | undefined): void => {
            limitPerSecond = perSecond;
        },
        close,
    };
};
