import type { ServerResponse } from "node:http";
import type { DecisionRecord } from "medlarlb-types/decisionRecord";
import type { Resource } from "medlarlb-types/resource";
import { sendProblem } from "../caller/sendProblem.js";
import { decodePosition } from "./decodePosition.js";
import type { DecisionPosition } from "./decisionPosition.js";
import { encodePosition } from "./encodePosition.js";
import { watchExpiredProblem } from "./watchExpiredProblem.js";
import type { OperatorContext } from "./operatorContext.js";
import { showDecision } from "./showDecision.js";

const POLL_INTERVAL_MS = 200;

/** Serves a watch of the decisions of all instances. The decisions of one instance come in their order. */
export const watchDecisions = async (context: OperatorContext, res: ServerResponse, from: string): Promise<void> => {
    const startPosition = from === "" ? new Map() : decodePosition(from);
    if (startPosition === undefined) {
        sendProblem(res, watchExpiredProblem);
        return;
    }
    let position: DecisionPosition = startPosition;
    const firstRead = await context.readDecisions(position);
    if (firstRead.gone) {
        sendProblem(res, watchExpiredProblem);
        return;
    }
    res.writeHead(200, { "content-type": "application/x-ndjson" });
    res.flushHeaders();
    const send = (records: DecisionRecord[]): void => {
        const resourceVersion = encodePosition(position);
        for (const record of records) {
            const object: Resource = showDecision(record, resourceVersion);
            res.write(`${JSON.stringify({ type: "ADDED", resourceVersion, object })}\n`);
        }
    };
    position = firstRead.position;
    send(firstRead.records);
    const poll = async (): Promise<void> => {
        const nextRead = await context.readDecisions(position);
        position = nextRead.position;
        send(nextRead.records);
        if (nextRead.gone) {
            res.end(`${JSON.stringify({ type: "ERROR", object: watchExpiredProblem })}\n`);
        }
        else if (!res.closed) {
            setTimeout(() => void poll(), POLL_INTERVAL_MS).unref();
        }
    };
    setTimeout(() => void poll(), POLL_INTERVAL_MS).unref();
};
