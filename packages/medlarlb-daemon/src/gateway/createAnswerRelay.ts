import type { AnswerEvidence } from "medlarlb-types/answerEvidence";
import { createByteCollector } from "medlarlb-targets/createByteCollector";
import type { createConnectionPool } from "medlarlb-targets/createConnectionPool";
import type { PooledResponseHandlers } from "medlarlb-targets/pooledResponseHandlers";
import type { FailureCause } from "medlarlb-decisions/gateway/failureCause";
import { createArrivalRecorder } from "./createArrivalRecorder.js";
import { createCallerWriter } from "./createCallerWriter.js";
import { createRepeatFilter } from "./createRepeatFilter.js";
import { createSseSplitter } from "./createSseSplitter.js";
import { findContinuationFault } from "./findContinuationFault.js";
import type { GatewayAdapter } from "./gatewayAdapter.js";
import type { createStreamProgress } from "./createStreamProgress.js";
import type { IngressCall } from "./ingressCall.js";
import { readMediaType } from "./readMediaType.js";

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
    onFinished: (status: number, longestGapMs: number, endedWithConnection: boolean) => void;
    onFailed: (failure: { ran: "no" | "unknown"; cause: FailureCause; reason: string; evidence: AnswerEvidence | undefined }) => void;
}

interface RelayOptions {
    call: IngressCall;
    targetId: string;
    adapter: GatewayAdapter;
    events: RelayEvents;
    now: () => number;
    /** What the caller has of the stream. */
    progress: ReturnType<typeof createStreamProgress>;
    /** Called before the first part of the answer is passed on. Returns whether another attempt of the request hasn't answered first. */
    claimAnswer: () => boolean;
    /** Returns the exchange with the target, to pause or abort it. */
    exchange: () => ReturnType<ReturnType<typeof createConnectionPool>["send"]> | undefined;
}

/** Length up to which an answer is buffered whole before the caller receives any of it, so that a failed attempt can be retried. */
const MAX_BUFFERED_BYTES = 262_144;
/** Longest body of a refusal that is read so that its connection can be used again. */
const MAX_DROPPED_BYTES = 65_536;
const MISDIRECTED_REQUEST_STATUS = 421;
/** Statuses with which a target refuses a request. "Not run" beside another one contradicts itself. */
const REFUSAL_STATUSES: ReadonlySet<number> = new Set([400, 408, 421, 429, 503]);
/** Statuses by which a caller is told that its request has not run and won't. */
const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);
const MIN_SERVER_ERROR_STATUS = 500;

/**
 * How the body is handled: discarded, buffered whole, relayed chunk by chunk, or relayed event by event. It is undecided
 * until the headers arrive.
 */
type Mode = "undecided" | "drop" | "buffer" | "relay" | "events";

/** Creates the handlers that check one response of a target and relay it to the caller. */
export const createAnswerRelay = (options: RelayOptions): PooledResponseHandlers => {
    const { call, adapter, events, targetId, progress } = options;
    const { res, metadata } = call;
    const writer = createCallerWriter(call, () => options.exchange()?.resume());
    const arrivals = createArrivalRecorder(options.now, events.onContact);
    const splitter = createSseSplitter();
    const repeats = createRepeatFilter(splitter.list, progress);
    let answerHeaders: AnswerHeaders | undefined;
    let evidence: AnswerEvidence | undefined;
    let status = 0;
    let mode: Mode = "undecided";
    const buffered = createByteCollector(MAX_BUFFERED_BYTES, "a buffered answer");
    let droppedBytes = 0;
    /** Whether the caller has received part of the stream, of which further events may follow only. */
    let isContinuation = false;
    const isTakenUp = call.lastEventId !== undefined;
    let hasBegun = false;
    let hasFailed = false;

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

    /** Reports the first part of the answer. Returns whether the caller gets this answer, and not that of another attempt. */
    const beginAnswer = (): boolean => {
        if (!hasBegun && !options.claimAnswer()) {
            hasFailed = true;
            options.exchange()?.abort();
            return false;
        }
        if (!hasBegun) {
            hasBegun = true;
            events.onBegun();
        }
        return true;
    };

    const head = () => ({ status, headers: answerHeaders?.forwarded ?? [] });

    const skipRepeated = (block: Buffer): Buffer => {
        if (isContinuation) {
            return repeats.continue(block);
        }
        return isTakenUp ? repeats.skip(block) : block;
    };

    const relayEvents = (chunk: Buffer): boolean => {
        const block = splitter.push(chunk);
        const rest = block === undefined ? block : skipRepeated(block);
        if (rest === undefined || rest.length === 0 || !beginAnswer()) {
            return true;
        }
        if (!res.headersSent) {
            progress.begin(readMediaType(head().headers));
        }
        progress.record(splitter.count(rest), splitter.lastId(rest), () => splitter.list(rest).find(each => each.id !== undefined)?.id);
        return writer.writeChunk(head(), rest);
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

    /** Counts bytes of a refusal's body. A longer one isn't read to its end: the headers have refused the request. */
    const dropBody = (length: number): void => {
        droppedBytes += length;
        if (!hasFailed && droppedBytes > MAX_DROPPED_BYTES) {
            options.exchange()?.abort();
            reportRefusal();
        }
    };

    /** Relays an answer that is too long to be buffered. A long failure without the signature isn't taken for the target's own. */
    const startRelay = (): Mode => {
        if (answerHeaders?.stamped === true) {
            return "relay";
        }
        failAndClose("garbled", `the answer lacks the target's signature and is longer than ${MAX_BUFFERED_BYTES} bytes`);
        return "drop";
    };

    const chooseContinuationMode = (): Mode => {
        const fault = findContinuationFault(metadata.route.kind === "streaming", status, readMediaType(head().headers), progress);
        if (fault !== undefined) {
            failAndClose(fault.cause, fault.reason);
        }
        return fault === undefined ? "events" : "drop";
    };

    const chooseMode = (): Mode => {
        if (answerHeaders === undefined) {
            return "drop";
        }
        if (answerHeaders.notRun) {
            if (!REFUSAL_STATUSES.has(status)) {
                failAndClose("garbled", `the target answered ${status} and says that it hasn't run the request`);
            }
            else if ((answerHeaders.callerRequestId ?? "") !== metadata.callerRequestId) {
                failAndClose("garbled", `the target refused with ${status} and didn't name the request`);
            }
            return "drop";
        }
        if (NOT_RUN_STATUSES.has(status) && metadata.route.kind !== "safe") {
            failAndClose("error", `the target answered ${status} and didn't say that it hasn't run the request`);
            return "drop";
        }
        const success = status >= 200 && status < 300;
        if (answerHeaders.encoded || (success && !answerHeaders.stamped)) {
            failAndClose("garbled", "the answer is encoded or lacks the target's signature");
            return "drop";
        }
        if (isContinuation) {
            return chooseContinuationMode();
        }
        if (metadata.route.kind === "streaming" && success) {
            return "events";
        }
        return (answerHeaders.contentLength ?? 0) > MAX_BUFFERED_BYTES ? startRelay() : "buffer";
    };

    const handleEnd = (endedWithConnection: boolean): void => {
        if (mode === "drop") {
            if (!hasFailed) {
                reportRefusal();
            }
            return;
        }
        if (mode === "events" && splitter.bufferedBytes() > 0) {
            fail("unknown", endedWithConnection ? "cut" : "garbled", "the stream ended inside an event");
            return;
        }
        // Only a run that was seen to end with the caller's last event shows that the caller has them all.
        if (isContinuation && !hasBegun && (progress.lastId() === undefined || repeats.latestRepeatedId() !== progress.lastId())) {
            fail("unknown", "garbled", "the target that should continue the stream sent no further event");
            return;
        }
        if (mode === "buffer" && status >= MIN_SERVER_ERROR_STATUS && metadata.route.kind === "safe" && metadata.route.maxAttempts > 1) {
            // The decisions may retry a safe request on another target. The caller gets this answer if they don't.
            call.failedAnswer = { status, headers: answerHeaders?.forwarded.flat() ?? [], body: buffered.take() };
            fail("unknown", "error", `the target answered ${status}`);
            return;
        }
        if (!beginAnswer()) {
            return;
        }
        writer.writeHead(head(), mode === "buffer" ? buffered.length() : undefined);
        res.end(mode === "buffer" ? buffered.take() : undefined);
        events.onFinished(status, arrivals.longestGapMs(), endedWithConnection);
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
            isContinuation = res.headersSent;
            mode = chooseMode();
            if (mode === "drop" && (answerHeaders.contentLength ?? 0) > MAX_DROPPED_BYTES) {
                dropBody(answerHeaders.contentLength ?? 0);
            }
        },
        onChunk: chunk => {
            if (mode === "drop") {
                dropBody(chunk.length);
            }
            if (hasFailed || mode === "drop") {
                return true;
            }
            arrivals.record();
            if (mode === "events") {
                try {
                    return relayEvents(chunk);
                }
                catch (err) {
                    failAndClose("garbled", (err as Error).message);
                    return true;
                }
            }
            if (mode === "buffer" && buffered.length() + chunk.length <= MAX_BUFFERED_BYTES) {
                buffered.add(chunk);
                return true;
            }
            if (mode === "buffer") {
                mode = startRelay();
            }
            if (mode === "drop") {
                return true;
            }
            if (!beginAnswer()) {
                return true;
            }
            writer.writeHead(head(), answerHeaders?.contentLength);
            // The memory of a chunk is used again for the next one.
            return writer.write(Buffer.concat([buffered.take(), chunk]));
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
