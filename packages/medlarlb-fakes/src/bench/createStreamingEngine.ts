import { createServer } from "node:http";
import type { ServerResponse } from "node:http";

interface StreamOptions {
    events: number;
    /** Pause in ms between two events of a stream. */
    intervalMs: number;
}

const EVENT_DATA = "x".repeat(40);

/** Creates an engine that answers every request with a stream of events, for benchmarks. */
export const createStreamingEngine = (id: string, { events, intervalMs }: StreamOptions) => {
    const stream = (res: ServerResponse, requestId: string): void => {
        let event = 0;
        res.writeHead(200, {
            "content-type": "text/event-stream",
            "x-request-id": requestId,
            "x-response-stamp": `stamp-${id}`,
            "x-server-load": "1,0,1000",
        });
        const timer = setInterval(() => {
            event += 1;
            res.write(`id: ${event}\ndata: ${EVENT_DATA}\n\n`);
            if (event === events) {
                clearInterval(timer);
                res.end();
            }
        }, intervalMs);
        res.on("close", () => clearInterval(timer));
    };
    return createServer((req, res) => {
        req.resume();
        if (req.url === "/api/report") {
            res.end(JSON.stringify({ models: [{ name: "m0", version: 1, adapters: [] }], in_flight: false, seq: 0 }));
            return;
        }
        req.on("end", () => stream(res, String(req.headers["x-request-id"])));
    });
};
