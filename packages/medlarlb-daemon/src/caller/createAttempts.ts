import type { AttemptEvent } from "medlarlb-types/attemptEvent";
import type { AttemptId } from "medlarlb-types/attemptId";
import type { ItemId } from "medlarlb-types/itemId";
import { createSseParser } from "medlarlb-targets/createSseParser";
import type { createTargetClient } from "medlarlb-targets/createTargetClient";
import type { TargetRequestFailure } from "medlarlb-targets/targetRequestFailure";
import type { SseEvent } from "medlarlb-targets/sseEvent";
import type { CallerRequest } from "./callerRequest.js";

interface AttemptOptions {
    /** HTTP client for calls to the targets. */
    caller: ReturnType<typeof createTargetClient>;
    /** Longest time in ms until a target's response begins. */
    firstByteMs: number;
    /** Longest pause in ms within a target's response. */
    idleMs: number;
    /** Reports to the decisions what happened to an attempt. */
    report: (request: CallerRequest, attemptId: AttemptId, event: AttemptEvent) => void;
    /** Sends the caller a complete answer that isn't a stream. Resolves when it was sent. */
    deliver: (request: CallerRequest, status: number, contentType: string, body: Buffer) => Promise<void>;
}

interface Attempt {
    attemptId: AttemptId;
    address: string;
    itemId?: ItemId | undefined;
    freshConnection: boolean;
    resume: boolean;
}

const DONE_EVENT_DATA = "[DONE]";
const NOT_RUN_STATUSES = [404, 409, 429, 503];
const MAX_UNSENT_BYTES = 8 * 1_024 * 1_024; // the connection is closed if more than this waits for the caller to read

const readRefusal = (status: number, body: Buffer): { code: string; message: string } | undefined => {
    if (!NOT_RUN_STATUSES.includes(status)) {
        return undefined;
    }
    try {
        const { error } = JSON.parse(body.toString("utf8")) as { error?: { code?: string; message?: string; ran?: string } };
        return error?.ran === "no" ? { code: error.code ?? "refused", message: error.message ?? error.code ?? "" } : undefined;
    }
    catch {
        return undefined;
    }
};

/** Creates the runner of attempts, which sends a request to a target, forwards the answer and reports how the attempt ended. */
export const createAttempts = (options: AttemptOptions) => {
    const writeEvents = (request: CallerRequest, events: SseEvent[]): boolean => {
        for (const event of events) {
            if (!request.headSent) {
                request.headSent = true;
                request.res.writeHead(200, { "content-type": "text/event-stream", "cache-control": "no-cache" });
            }
            request.res.write(`id: ${event.offset}\ndata: ${event.data}\n\n`);
            if (!request.summary.nonIdempotent) {
                // The record is compared with a second run, which a non-idempotent request never gets.
                request.deliveredEvents.add(event.data);
            }
            request.streamDone ||= event.data === DONE_EVENT_DATA;
        }
        return request.res.writableLength <= MAX_UNSENT_BYTES;
    };

    const toFailureEvent = (request: CallerRequest, attempt: Attempt, failure: TargetRequestFailure): AttemptEvent => {
        if (!attempt.resume && failure.kind !== "broken") {
            return { kind: "notSent", reason: failure.reason };
        }
        const isInference = request.summary.kind === "inference";
        // If nothing was delivered yet, any stream can be resumed from its start, with or without offsets.
        const hasKnownPosition = !request.summary.streaming || request.hasOffsets || request.reorderBuffer.delivered() === 0;
        const resumable = isInference && failure.kind === "broken" && hasKnownPosition && !request.needsPrefixCheck;
        return {
            kind: "broken",
            reason: failure.reason,
            delivered: request.headSent ? request.reorderBuffer.delivered() : 0,
            resumable,
            connectionRefused: failure.kind === "refused",
        };
    };

    /** Reports that a second run can't continue the stream after the events that the caller already has. */
    const reportMismatch = (request: CallerRequest, attempt: Attempt, reason: string): void => {
        const delivered = request.reorderBuffer.delivered();
        options.report(request, attempt.attemptId, { kind: "broken", reason, delivered, resumable: false, connectionRefused: false, prefixMismatch: true });
    };

    const endAnswer = (request: CallerRequest, attempt: Attempt, status: number, contentType: string, body: Buffer): void => {
        const refusal = readRefusal(status, body);
        if (refusal !== undefined && attempt.resume) {
            // The target responds but doesn't know the request: it has restarted, or never received the request.
            const reason = `the target doesn't know the request: ${refusal.message}`;
            const delivered = request.headSent ? request.reorderBuffer.delivered() : 0;
            options.report(request, attempt.attemptId, { kind: "broken", reason, delivered, resumable: false, connectionRefused: false });
            return;
        }
        if (refusal !== undefined) {
            options.report(request, attempt.attemptId, {
                kind: "rejected",
                reason: refusal.message,
                leaving: refusal.code === "leaving",
                notResident: refusal.code === "not_resident",
            });
            return;
        }
        if (request.headSent) {
            reportMismatch(request, attempt, `the target answered ${status} instead of the rest of the stream`);
            return;
        }
        void options.deliver(request, status, contentType, body)
            .then(() => options.report(request, attempt.attemptId, { kind: "completed", status }));
    };

    const endStream = (request: CallerRequest, attempt: Attempt): void => {
        if (request.streamDone) {
            request.res.end();
            request.finished = true;
            options.report(request, attempt.attemptId, { kind: "completed", status: 200 });
            return;
        }
        const failure: TargetRequestFailure = { kind: "broken", reason: "the stream ended before its last event" };
        options.report(request, attempt.attemptId, toFailureEvent(request, attempt, failure));
    };

    const start = (request: CallerRequest, attempt: Attempt): void => {
        const { summary } = request;
        const chunks: Buffer[] = [];
        let status = 0;
        let contentType = "";
        let parse: ((chunk: Buffer) => void) | undefined;
        const stop = options.caller.run({
            address: attempt.address,
            method: attempt.resume ? "GET" : request.method,
            path: attempt.resume ? `/v1/streams/${encodeURIComponent(summary.requestId)}` : request.path,
            headers: {
                "content-type": request.contentType,
                "accept": summary.streaming ? "text/event-stream" : "application/json",
                "x-request-id": summary.requestId,
                "x-medlarlb-priority": String(summary.priority),
                ...(attempt.itemId === undefined ? {} : { "x-medlarlb-item": attempt.itemId }),
                ...(attempt.resume ? { "last-event-id": String(request.reorderBuffer.delivered()) } : {}),
            },
            body: attempt.resume || request.body.length === 0 ? undefined : request.body,
            freshConnection: attempt.freshConnection,
            firstByteMs: options.firstByteMs,
            idleMs: options.idleMs,
        }, {
            onHead: (headStatus, headers) => {
                status = headStatus;
                contentType = String(headers["content-type"] ?? "application/json");
                const isStream = status === 200 && contentType.startsWith("text/event-stream");
                parse = isStream ? createParser(request, attempt, stop) : undefined;
                options.report(request, attempt.attemptId, { kind: "firstByte" });
            },
            onChunk: chunk => {
                if (parse === undefined) {
                    chunks.push(chunk);
                }
                else {
                    parse(chunk);
                }
            },
            onEnd: () => {
                if (parse === undefined) {
                    endAnswer(request, attempt, status, contentType, Buffer.concat(chunks));
                }
                else {
                    endStream(request, attempt);
                }
            },
            onFailure: failure => options.report(request, attempt.attemptId, toFailureEvent(request, attempt, failure)),
        });
        request.stopAttempt = stop;
    };

    const createParser = (request: CallerRequest, attempt: Attempt, stop: () => void): ((chunk: Buffer) => void) => {
        const delivered = request.reorderBuffer.delivered();
        request.needsPrefixCheck = !attempt.resume && delivered > 0;
        let mismatched = false;
        return createSseParser(attempt.resume ? delivered : 0, event => {
            if (mismatched) {
                return;
            }
            request.hasOffsets = event.hasEventId;
            mismatched = request.needsPrefixCheck && !request.deliveredEvents.matches(event.offset, event.data);
            request.needsPrefixCheck &&= event.offset < delivered;
            if (mismatched) {
                stop();
                reportMismatch(request, attempt, "the answer of a second run differs from the part that the caller already has");
                return;
            }
            const keepsUp = writeEvents(request, request.reorderBuffer.insert(event));
            if (!keepsUp) {
                stop();
                request.res.destroy();
            }
        });
    };

    return { start };
};
