import { setTimeout as sleep } from "node:timers/promises";
import type { IdempotencyRecord } from "medlarlb-types/idempotencyRecord";
import type { DecisionCommand } from "medlarlb-types/decisionCommand";
import type { DecisionInput } from "medlarlb-types/decisionInput";
import type { Problem } from "medlarlb-types/problem";
import type { RequestId } from "medlarlb-types/requestId";
import type { createTargetClient } from "medlarlb-targets/createTargetClient";
import type { createMetrics } from "../createMetrics.js";
import type { CallerRequest } from "./callerRequest.js";
import { createAttempts } from "./createAttempts.js";
import type { createIdempotencyStore } from "./createIdempotencyStore.js";
import { createErrorBody } from "./createErrorBody.js";
import { createCallerRequest } from "./createCallerRequest.js";
import { sendProblem } from "./sendProblem.js";

interface RequestProxyOptions {
    /** HTTP client for calls to the targets. */
    caller: ReturnType<typeof createTargetClient>;
    idempotencyStore: ReturnType<typeof createIdempotencyStore>;
    metrics: ReturnType<typeof createMetrics>;
    firstByteMs: number;
    idleMs: number;
    addressOf: (targetId: string) => string | undefined;
    cancelRun: (address: string, requestId: RequestId) => void;
    push: (input: DecisionInput) => void;
}

const MAX_RECORD_WAIT_MS = 250; // longest time that an answer waits until the KV service has recorded it

type Command<Kind extends DecisionCommand["kind"]> = Extract<DecisionCommand, { kind: Kind }>;

/** Creates the proxy between callers and targets. It keeps the open requests and executes the commands of the decisions for them. */
export const createRequestProxy = (options: RequestProxyOptions) => {
    const { metrics, idempotencyStore, push } = options;
    const openRequests = new Map<RequestId, CallerRequest>();

    const recordOutcome = async (request: CallerRequest, state: IdempotencyRecord["state"], answer?: IdempotencyRecord["answer"]): Promise<void> => {
        if (request.summary.idempotencyKey !== undefined) {
            await idempotencyStore.recordOutcome(request.summary, state, answer);
        }
    };

    const closeRequest = (request: CallerRequest): void => {
        request.finished = true;
        openRequests.delete(request.summary.requestId);
        metrics.timing("request.time", Date.now() - request.startedAtMs);
    };

    const attempts = createAttempts({
        caller: options.caller,
        firstByteMs: options.firstByteMs,
        idleMs: options.idleMs,
        report: (request, attemptId, event) => {
            const { requestId } = request.summary;
            push({ kind: "attempt", requestId, attemptId, event });
            if (event.kind === "completed") {
                metrics.count("request.completed");
                if (request.summary.streaming) {
                    void recordOutcome(request, "completed");
                }
                closeRequest(request);
            }
        },
        deliver: async (request, status, contentType, body) => {
            if (request.summary.idempotencyKey !== undefined) {
                // A repeat that the caller sends after the answer should find the answer recorded.
                const recorded = recordOutcome(request, "completed", { status, contentType, body: body.toString("utf8") });
                await Promise.race([recorded, sleep(MAX_RECORD_WAIT_MS)]);
            }
            if (!request.finished) {
                request.headSent = true;
                request.res.writeHead(status, { "content-type": contentType, "content-length": body.length });
                request.res.end(body);
            }
        },
    });

    const accept = (accepted: Parameters<typeof createCallerRequest>[0]): void => {
        const request = createCallerRequest(accepted);
        const { requestId } = accepted.summary;
        openRequests.set(requestId, request);
        accepted.res.setHeader("x-medlarlb-request-id", requestId);
        accepted.res.setHeader("x-request-id", accepted.callerId ?? requestId);
        accepted.res.on("close", () => {
            if (!request.finished) {
                metrics.count("request.cancelled");
                void recordOutcome(request, "unknown");
                request.stopAttempt();
                closeRequest(request);
                push({ kind: "cancelled", requestId });
            }
        });
        metrics.count("request.accepted");
        push({ kind: "request", request: accepted.summary });
    };

    const start = (command: Command<"run"> | Command<"resume">): void => {
        const request = openRequests.get(command.requestId);
        const address = options.addressOf(command.targetId);
        if (request === undefined) {
            return;
        }
        if (address === undefined) {
            const event = { kind: "notSent" as const, reason: "the target is no longer configured" };
            push({ kind: "attempt", requestId: command.requestId, attemptId: command.attemptId, event });
            return;
        }
        const resume = command.kind === "resume";
        metrics.count(resume ? "attempt.resumed" : "attempt.started");
        attempts.start(request, {
            attemptId: command.attemptId,
            address,
            itemId: command.kind === "run" ? command.itemId : undefined,
            freshConnection: command.kind === "resume" || command.freshConnection,
            resume,
        });
    };

    const sendError = (request: CallerRequest, problem: Problem): void => {
        if (!request.headSent) {
            sendProblem(request.res, problem);
            return;
        }
        // The stream has already begun, so it ends with an error event instead of its closing event.
        request.res.end(`event: error\ndata: ${createErrorBody(problem)}\n\n`);
    };

    const refuse = ({ requestId, problem }: Command<"refuse">): void => {
        const request = openRequests.get(requestId);
        if (request === undefined) {
            return;
        }
        request.stopAttempt();
        metrics.count("request.refused");
        void recordOutcome(request, problem.ran === "no" ? "notRun" : "unknown");
        closeRequest(request);
        sendError(request, problem);
    };

    const replay = ({ requestId, record }: Command<"replay">): void => {
        const request = openRequests.get(requestId);
        if (request === undefined || record.answer === undefined) {
            return;
        }
        closeRequest(request);
        request.res.setHeader("x-medlarlb-repeated", "true");
        request.res.writeHead(record.answer.status, { "content-type": record.answer.contentType });
        request.res.end(record.answer.body);
    };

    const claim = ({ requestId }: Command<"claim">): void => {
        const request = openRequests.get(requestId);
        if (request !== undefined) {
            void idempotencyStore.claim(request.summary).then(outcome => push({ kind: "claim", requestId, ...outcome }));
        }
    };

    const cancelRun = ({ requestId, targetId }: Command<"cancelRun">): void => {
        openRequests.get(requestId)?.stopAttempt();
        const address = options.addressOf(targetId);
        if (address !== undefined) {
            options.cancelRun(address, requestId);
        }
    };

    return { accept, start, refuse, replay, claim, cancelRun, openCount: () => openRequests.size };
};
