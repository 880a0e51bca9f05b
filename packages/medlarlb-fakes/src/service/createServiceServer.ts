import { randomUUID } from "node:crypto";
import { createServer } from "node:http";
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import { setTimeout as sleep } from "node:timers/promises";
import { readJson } from "../shared/readJson.js";
import { sendJson } from "../shared/sendJson.js";

/** Faults that tests set at `/stand-in/faults`. */
interface Faults {
    /** Reports say that the service is leaving, and calls are refused. */
    leaving: boolean;
    /** Time that each call runs. */
    delayMs: number;
    /** Number of next calls that run and whose connection is closed before the response. */
    loseAnswers: number;
}

/** Creates the server of a stand-in for a service without models. It counts how often it ran each request body. */
export const createServiceServer = (targetId: string): Server => {
    const bootId = randomUUID();
    const executions = new Map<string, number>();
    const faults: Faults = { leaving: false, delayMs: 0, loseAnswers: 0 };
    let sequence = 0;
    let inFlight = 0;

    const serveCall = async (req: IncomingMessage, res: ServerResponse): Promise<void> => {
        const body = await readJson(req);
        if (faults.leaving) {
            sendJson(res, 503, { error: { code: "leaving", ran: "no" } });
            return;
        }
        const key = JSON.stringify(body);
        executions.set(key, (executions.get(key) ?? 0) + 1);
        inFlight += 1;
        await sleep(faults.delayMs);
        inFlight -= 1;
        if (faults.loseAnswers > 0) {
            faults.loseAnswers -= 1;
            req.socket.destroy();
            return;
        }
        sendJson(res, 200, { target: targetId, path: req.url, received: body });
    };

    const route = async (req: IncomingMessage, res: ServerResponse): Promise<void> => {
        if (req.url === "/report") {
            sequence += 1;
            const { leaving } = faults;
            sendJson(res, 200, { targetId, bootId, sequence, memoryBytes: 0, items: [], inFlight, queued: 0, leaving, fence: 0 });
        }
        else if (req.url === "/stand-in/faults") {
            Object.assign(faults, await readJson(req));
            sendJson(res, 200, faults);
        }
        else if (req.url === "/stand-in") {
            sendJson(res, 200, { executions: Object.fromEntries(executions) });
        }
        else {
            await serveCall(req, res);
        }
    };

    return createServer((req, res) => {
        route(req, res).catch(() => res.destroy());
    });
};
