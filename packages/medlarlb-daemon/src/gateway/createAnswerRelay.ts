import type { AnswerEvidence } from "medlarlb-types/answerEvidence";
import type { createConnectionPool } from "medlarlb-targets/createConnectionPool";
import type { PooledResponseHandlers } from "medlarlb-targets/pooledResponseHandlers";
import type { FailureCause } from "medlarlb-decisions/gateway/failureCause";
import { createSseSplitter } from "./createSseSplitter.js";
import { encodeChunk } from "./encodeChunk.js";
import type { GatewayAdapter } from "./gatewayAdapter.js";
import type { IngressCall } from "./ingressCall.js";

type AnswerHeaders = ReturnType<GatewayAdapter["readAnswer"]>;

interface RelayEvents {
    onLoad: (load: NonNullable<AnswerHeaders["load"]>) => void;
    /** Called with each answer that a target makes, also if it names no limit. */
    onLimit: (perSecond: number | undefined) => void;
    /** Called with each answer in which the target says that it leaves. */
    onLeaving: () => void;
    /** Called when the target asks for a pause. */
    onPause: (pauseMs: number) => void;
    /** Called for each answer to another request that precedes the own one. */
    onForeignAnswer: (evidence: AnswerEvidence) => void;
    onBegun: () => void;
    /** Called at most once in a while although bytes keep arriving. */
    onContact: () => void;
    /** `longestGapMs` is the longest pause between two parts of the answer. */
    onFinished: (status: number, longestGapMs: number) => void;
    onFailed: (failure: { ran: "no" | "unknown"; cause: FailureCause; reason: string; evidence: AnswerEvidence | undefined }) => void;
}

interface RelayOptions {
    call: IngressCall;
    targetId: string;
    adapter: GatewayAdapter;
    events: RelayEvents;
    now: () => number;
    /** Id of the last event that the caller received, if this attempt continues a stream. */
    lastDeliveredId: string | undefined;
    onDelivered: (eventId: string) => void;
    /** Returns the exchange with the target, to pause or abort it. */
    exchange: () => ReturnType<ReturnType<typeof createConnectionPool>["send"]> | undefined;
}

/** Length up to which an answer is buffered whole before the caller receives any of it, so that a failed attempt can be retried. */
const MAX_BUFFERED_BYTES = 262_144;
const MISDIRECTED_REQUEST_STATUS = 421;
const MIN_SERVER_ERROR_STATUS = 500;
/** Shortest time in ms between two reports that a target is sending. */
const CONTACT_INTERVAL_MS = 100;

/**
 * How the body is handled: discarded, buffered whole, relayed chunk by chunk, or relayed event by event. It is undecided
 * until the headers arrive.
 */
type Mode = "undecided" | "drop" | "buffer" | "relay" | "events";

/** Creates the handlers that check one response of a target and relay it to the caller. */
export const createAnswerRelay = (options: RelayOptions): PooledResponseHandlers => {
    const { call, adapter, events, targetId, now } = options;
    const { res, metadata } = call;
    const splitter = createSseSplitter();
    let answerHeaders: AnswerHeaders | undefined;
    let evidence: AnswerEvidence | undefined;
    let status = 0;
    let mode: Mode = "undecided";
    let bufferedChunks: Buffer[] = [];
    let bufferedBytes = 0;
    let hasBegun = false;
    let hasFailed = false;
    let lastChunkAtMs: number | undefined;
    let longestGapMs = 0;
    let nextContactMs = Number.NEGATIVE_INFINITY;
    let lastEventId = options.lastDeliveredId;

    const fail = (ran: "no" | "unknown", cause: FailureCause, reason: string): void => {
        if (!hasFailed) {
            hasFailed = true;
            events.onFailed({ ran, cause, reason, evidence });
        }
    };

    const failAndClose = (cause: FailureCause, reason: string): void => {
        options.exchange()?.abort();
        fail("unknown", cause, reason);
    };

    const reportBegun = (): void => {
        if (hasBegun) {
            return;
        }
        hasBegun = true;
        events.onBegun();
    };

    const writeHead = (length: number | undefined): void => {
        if (res.headersSent || answerHeaders === undefined) {
            return;
        }
        const headers = answerHeaders.forwarded.flat();
        if (length !== undefined) {
            headers.push("content-length", String(length));
        }
        res.writeHead(status, headers);
    };

    /** Writes part of a body that has a length. */
    const write = (bytes: Buffer): boolean => {
        const hasCapacity = res.write(bytes);
        if (!hasCapacity) {
            res.once("drain", () => options.exchange()?.resume());
        }
        return hasCapacity;
    };

    /**
     * Writes part of a body without a length as one chunk, together with the headers if it is the first. `res.write` would
     * make four writes of it, which costs a stream of small events more than the rest of their way.
     */
    const writeChunk = (bytes: Buffer): boolean => {
        const socket = res.socket ?? undefined;
        if (socket === undefined || call.req.httpVersionMinor === 0) {
            writeHead(undefined);
            return write(Buffer.from(bytes));
        }
        if (!res.headersSent) {
            // The headers and the first events leave in one write.
            socket.cork();
            process.nextTick(() => socket.uncork());
            writeHead(undefined);
            res.flushHeaders();
        }
        const hasCapacity = socket.write(encodeChunk(bytes));
        if (!hasCapacity) {
            socket.once("drain", () => options.exchange()?.resume());
        }
        return hasCapacity;
    };

    /**
     * Returns whether the caller already received an event. Event ids rise, and a run that resumed from an earlier point
     * repeats some of them.
     */
    const wasDelivered = (id: string | undefined): boolean =>
        id !== undefined && lastEventId !== undefined && options.lastDeliveredId !== undefined && Number(id) <= Number(lastEventId);

    /** Returns the part of a block of events that the caller hasn't received yet. */
    const skipDelivered = (block: Buffer): Buffer => {
        const isResumed = options.lastDeliveredId !== undefined;
        return isResumed ? Buffer.concat(splitter.list(block).filter(event => !wasDelivered(event.id)).map(event => event.bytes)) : block;
    };

    const relayEvents = (chunk: Buffer): boolean => {
        const block = splitter.push(chunk);
        const events = block === undefined ? undefined : skipDelivered(block);
        if (events === undefined || events.length === 0) {
            return true;
        }
        reportBegun();
        const id = splitter.lastId(events);
        if (id !== undefined) {
            lastEventId = id;
            options.onDelivered(id);
        }
        return writeChunk(events);
    };

    const recordChunk = (): void => {
        const nowMs = now();
        longestGapMs = Math.max(longestGapMs, nowMs - (lastChunkAtMs ?? nowMs));
        lastChunkAtMs = nowMs;
        if (nowMs >= nextContactMs) {
            nextContactMs = nowMs + CONTACT_INTERVAL_MS;
            events.onContact();
        }
    };

    const isFromOtherTarget = (): boolean => answerHeaders?.targetId !== undefined && answerHeaders.targetId !== targetId;

    /** Reports what the target says of itself. An answer of another target that has its address now says nothing of it. */
    const reportTargetState = ({ requestLimit, leaving, pauseMs }: AnswerHeaders): void => {
        if (isFromOtherTarget()) {
            return;
        }
        events.onLimit(requestLimit);
        if (leaving) {
            events.onLeaving();
        }
        if (pauseMs !== undefined) {
            events.onPause(pauseMs);
        }
    };

    const reportRefusal = (): void => {
        if (status === MISDIRECTED_REQUEST_STATUS) {
            fail("no", isFromOtherTarget() ? "otherTarget" : "notHeld", `the target answered ${status}`);
        }
        else {
            fail("no", "full", `the target refused with ${status}`);
        }
    };

    const chooseMode = (): Mode => {
        if (answerHeaders === undefined) {
            return "drop";
        }
        if (answerHeaders.notRun) {
            if ((answerHeaders.callerRequestId ?? "") !== metadata.callerRequestId) {
                failAndClose("garbled", `the target refused with ${status} and didn't name the request`);
            }
            return "drop";
        }
        const success = status >= 200 && status < 300;
        if (answerHeaders.encoded || (success && !answerHeaders.stamped)) {
            failAndClose("garbled", "the answer is encoded or lacks the target's signature");
            return "drop";
        }
        if (metadata.route.kind === "streaming" && success) {
            return "events";
        }
        if (res.headersSent) {
            // The caller has received part of a stream, so only further events of it may follow.
            failAndClose("error", `the target that should continue the stream answered ${status}`);
            return "drop";
        }
        return answerHeaders.contentLength !== undefined && answerHeaders.contentLength > MAX_BUFFERED_BYTES ? "relay" : "buffer";
    };

    const handleEnd = (): void => {
        if (mode === "drop") {
            if (!hasFailed) {
                reportRefusal();
            }
            return;
        }
        if (mode === "events" && splitter.bufferedBytes() > 0) {
            fail("unknown", "garbled", "the stream ended inside an event");
            return;
        }
        if (mode === "buffer" && status >= MIN_SERVER_ERROR_STATUS && metadata.route.kind === "safe" && metadata.route.maxAttempts > 1) {
            // The decisions may retry a safe request on another target. The caller gets this answer if they don't.
            call.failedAnswer = { status, headers: answerHeaders?.forwarded.flat() ?? [], body: Buffer.concat(bufferedChunks) };
            fail("unknown", "error", `the target answered ${status}`);
            return;
        }
        reportBegun();
        writeHead(mode === "buffer" ? bufferedBytes : undefined);
        res.end(mode === "buffer" ? Buffer.concat(bufferedChunks) : undefined);
        events.onFinished(status, longestGapMs);
    };

    return {
        onForeignAnswer: (foreignStatus, answerId, { ageMs, carriedRequests }) =>
            events.onForeignAnswer({ status: foreignStatus, answerId, connectionAgeMs: Math.round(ageMs), carriedRequests }),
        onHead: (statusCode, headers, { ageMs, carriedRequests }) => {
            status = statusCode;
            answerHeaders = adapter.readAnswer(statusCode, headers);
            evidence = { status, answerId: answerHeaders.callerRequestId, connectionAgeMs: Math.round(ageMs), carriedRequests };
            if (answerHeaders.load !== undefined) {
                events.onLoad(answerHeaders.load);
            }
            reportTargetState(answerHeaders);
            mode = chooseMode();
        },
        onChunk: chunk => {
            if (hasFailed || mode === "drop") {
                return true;
            }
            recordChunk();
            if (mode === "events") {
                try {
                    return relayEvents(chunk);
                }
                catch (err) {
                    failAndClose("garbled", (err as Error).message);
                    return true;
                }
            }
            if (mode === "buffer") {
                // The memory of a chunk is used again for the next one.
                bufferedChunks.push(Buffer.from(chunk));
                bufferedBytes += chunk.length;
                if (bufferedBytes <= MAX_BUFFERED_BYTES) {
                    return true;
                }
                mode = "relay";
                reportBegun();
                writeHead(answerHeaders?.contentLength);
                const bytes = Buffer.concat(bufferedChunks);
                bufferedChunks = [];
                return write(bytes);
            }
            reportBegun();
            writeHead(answerHeaders?.contentLength);
            return write(Buffer.from(chunk));
        },
        onEnd: handleEnd,
        onFailure: ({ sent, malformed, reason }) => {
            if (hasFailed) {
                return;
            }
            if (!sent) {
                fail("no", "connect", reason);
            }
            else if (mode === "drop" && answerHeaders?.notRun === true) {
                reportRefusal();
            }
            else {
                fail("unknown", malformed ? "garbled" : "cut", reason);
            }
        },
    };
};
