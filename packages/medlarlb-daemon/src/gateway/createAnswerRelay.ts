import type { createConnectionPool } from "medlarlb-targets/createConnectionPool";
import type { PooledResponseHandlers } from "medlarlb-targets/pooledResponseHandlers";
import type { FailureCause } from "medlarlb-decisions/gateway/failureCause";
import { createSseSplitter } from "./createSseSplitter.js";
import type { GatewayAdapter } from "./gatewayAdapter.js";
import type { IngressCall } from "./ingressCall.js";

type Answer = ReturnType<GatewayAdapter["readAnswer"]>;

interface RelayEvents {
    onLoad: (load: NonNullable<Answer["load"]>) => void;
    onBegun: () => void;
    onProgress: () => void;
    onFinished: (status: number) => void;
    onFailed: (failure: { ran: "no" | "unknown"; cause: FailureCause; reason: string }) => void;
}

interface RelayOptions {
    call: IngressCall;
    targetId: string;
    adapter: GatewayAdapter;
    events: RelayEvents;
    /** Number of the last event that the caller has, if this attempt goes on with a stream. */
    deliveredId: string | undefined;
    onDelivered: (eventId: string) => void;
    exchange: () => ReturnType<ReturnType<typeof createConnectionPool>["send"]> | undefined;
}

/** Answers up to this length are taken in whole before the caller gets any of it, so that a broken one can be repeated. */
const MAX_HELD_BYTES = 262_144;
const MISDIRECTED = 421;
const SERVER_ERROR = 500;

type Mode = "undecided" | "drop" | "hold" | "relay" | "events";

/** Creates what takes in one answer of a target, checks it, and gives it to the caller. */
export const createAnswerRelay = (options: RelayOptions): PooledResponseHandlers => {
    const { call, adapter, events, targetId } = options;
    const { res, metadata } = call;
    const splitter = createSseSplitter();
    let answer: Answer | undefined;
    let status = 0;
    let mode: Mode = "undecided";
    let held: Buffer[] = [];
    let heldBytes = 0;
    let begun = false;
    let failed = false;
    let lastId = options.deliveredId;

    const fail = (ran: "no" | "unknown", cause: FailureCause, reason: string): void => {
        if (!failed) {
            failed = true;
            events.onFailed({ ran, cause, reason });
        }
    };

    const failAndClose = (cause: FailureCause, reason: string): void => {
        options.exchange()?.abort();
        fail("unknown", cause, reason);
    };

    const begin = (): void => {
        if (begun) {
            return;
        }
        begun = true;
        events.onBegun();
    };

    const writeHead = (length: number | undefined): void => {
        if (res.headersSent || answer === undefined) {
            return;
        }
        const headers = answer.forwarded.flat();
        if (length !== undefined) {
            headers.push("content-length", String(length));
        }
        res.writeHead(status, headers);
    };

    const write = (bytes: Buffer): boolean => {
        const more = res.write(bytes);
        if (!more) {
            res.once("drain", () => options.exchange()?.resume());
        }
        return more;
    };

    /** Numbers of events rise; one that the caller already has comes from a run that went further back. */
    const isRepeated = (id: string | undefined): boolean =>
        id !== undefined && lastId !== undefined && options.deliveredId !== undefined && Number(id) <= Number(lastId);

    const relayEvents = (chunk: Buffer): boolean => {
        let more = true;
        for (const event of splitter.push(chunk)) {
            if (isRepeated(event.id)) {
                continue;
            }
            begin();
            writeHead(undefined);
            more = write(event.bytes);
            lastId = event.id ?? lastId;
            if (event.id !== undefined) {
                options.onDelivered(event.id);
            }
        }
        return more;
    };

    const refuse = (): void => {
        if (status === MISDIRECTED) {
            const other = answer?.targetId !== undefined && answer.targetId !== targetId;
            fail("no", other ? "otherTarget" : "notHeld", `the target answered ${status}`);
        }
        else {
            fail("no", "full", `the target refused with ${status}`);
        }
    };

    const chooseMode = (): Mode => {
        if (answer === undefined || answer.notRun) {
            return "drop";
        }
        if (answer.callerRequestId !== undefined && answer.callerRequestId !== metadata.callerRequestId) {
            failAndClose("garbled", "the answer belongs to another request");
            return "drop";
        }
        const success = status >= 200 && status < 300;
        if (answer.encoded || (success && !answer.stamped)) {
            failAndClose("garbled", "the answer isn't the target's own");
            return "drop";
        }
        if (metadata.route.kind === "streaming" && success) {
            return "events";
        }
        if (res.headersSent) {
            // The caller has a part of a stream already; nothing but more of its events may follow.
            failAndClose("error", `the target that was to go on with the stream answered ${status}`);
            return "drop";
        }
        return answer.contentLength !== undefined && answer.contentLength > MAX_HELD_BYTES ? "relay" : "hold";
    };

    const end = (): void => {
        if (mode === "drop") {
            if (!failed) {
                refuse();
            }
            return;
        }
        if (mode === "events" && splitter.rest() > 0) {
            fail("unknown", "garbled", "the stream ended inside an event");
            return;
        }
        if (mode === "hold" && status >= SERVER_ERROR && metadata.route.kind === "safe" && metadata.route.maxAttempts > 1) {
            // The decisions may try a safe request elsewhere; the answer is kept in case they don't.
            call.failedAnswer = { status, headers: answer?.forwarded.flat() ?? [], body: Buffer.concat(held) };
            fail("unknown", "error", `the target answered ${status}`);
            return;
        }
        begin();
        writeHead(mode === "hold" ? heldBytes : undefined);
        res.end(mode === "hold" ? Buffer.concat(held) : undefined);
        events.onFinished(status);
    };

    return {
        onHead: (code, headers) => {
            status = code;
            answer = adapter.readAnswer(code, headers);
            if (answer.load !== undefined) {
                events.onLoad(answer.load);
            }
            mode = chooseMode();
        },
        onChunk: chunk => {
            if (failed || mode === "drop") {
                return true;
            }
            events.onProgress();
            if (mode === "events") {
                try {
                    return relayEvents(chunk);
                }
                catch (err) {
                    failAndClose("garbled", (err as Error).message);
                    return true;
                }
            }
            if (mode === "hold") {
                held.push(chunk);
                heldBytes += chunk.length;
                if (heldBytes <= MAX_HELD_BYTES) {
                    return true;
                }
                mode = "relay";
                begin();
                writeHead(answer?.contentLength);
                const bytes = Buffer.concat(held);
                held = [];
                return write(bytes);
            }
            begin();
            writeHead(answer?.contentLength);
            return write(chunk);
        },
        onEnd: end,
        onFailure: ({ sent, malformed, reason }) => {
            if (failed) {
                return;
            }
            if (!sent) {
                fail("no", "connect", reason);
            }
            else if (mode === "drop" && answer?.notRun === true) {
                refuse();
            }
            else {
                fail("unknown", malformed ? "garbled" : "cut", reason);
            }
        },
    };
};
