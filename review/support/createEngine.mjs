import { Buffer } from "node:buffer";
import { createServer } from "node:http";
import { clearTimeout, setTimeout } from "node:timers";

const FULL = 503;
const MISDIRECTED = 421;

/**
 * Creates a stand-in of a plain engine. It runs `slots` requests at once, each for `workMs`, and refuses more as not run. `answer`
 * takes the place of the usual answer to a run that has ended.
 */
export const createEngine = ({ id, slots, workMs, record, nowMs, answer }) => {
    const runs = [];
    let active = 0;

    const answerWhole = (run, res) => {
        res.writeHead(200, {
            "content-type": "text/plain",
            "x-request-id": run.id,
            "x-response-stamp": run.stamp,
            "x-instance-id": id,
            "x-server-load": `${active},0,${slots}`,
        });
        res.end(run.body);
    };

    const refuse = (res, requestId, status) =>
        res.writeHead(status, { "x-request-id": requestId, "x-not-run": "1", "x-instance-id": id, "x-server-load": `${active},0,${slots}` }).end();

    const server = createServer((req, res) => {
        const chunks = [];
        req.on("data", chunk => chunks.push(chunk));
        req.on("end", () => {
            const requestId = req.headers["x-request-id"] ?? "";
            if (req.headers["x-expect-instance"] !== undefined && req.headers["x-expect-instance"] !== id) {
                refuse(res, requestId, MISDIRECTED);
                return;
            }
            if (req.url === "/health") {
                res.writeHead(200, { "x-instance-id": id }).end();
                return;
            }
            if (active >= slots) {
                refuse(res, requestId, FULL);
                return;
            }
            active += 1;
            const run = {
                id: requestId,
                number: runs.length + 1,
                engine: id,
                startedAtMs: nowMs(),
                sent: Buffer.concat(chunks).toString(),
                stamp: `${id}.${runs.length + 1}`,
                body: `answer ${runs.length + 1} of ${id} to ${requestId}`.padEnd(800, "."),
                state: "running",
            };
            runs.push(run);
            const timer = setTimeout(() => {
                active -= 1;
                run.state = "done";
                record(`engine ${id} ran ${run.id} from ${run.startedAtMs}`);
                (answer ?? answerWhole)(run, res, answerWhole);
            }, workMs);
            res.on("close", () => {
                if (run.state === "running") {
                    clearTimeout(timer);
                    active -= 1;
                    run.state = "dropped";
                    record(`engine ${id} dropped ${run.id}, which ran from ${run.startedAtMs}`);
                }
            });
        });
    });
    server.keepAliveTimeout = 20_000;
    return { id, server, runs };
};
