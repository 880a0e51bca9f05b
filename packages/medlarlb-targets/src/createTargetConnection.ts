import { createConnection, Socket } from "node:net";
import { parseAddress } from "medlarlb-types/parseAddress";
import type { PooledResponseHandlers } from "./pooledResponseHandlers.js";
import type { TargetRequestMessage } from "./targetRequestMessage.js";
import type { ConnectionHistory } from "./connectionHistory.js";
import { createAnswerReader } from "./createAnswerReader.js";
import { keepAliveMs } from "./keepAliveMs.js";

interface ConnectionOptions {
    address: string;
    now: () => number;
    /** Returns the id of the request that an answer names. */
    readAnswerId: (headers: Record<string, string>) => string | undefined;
    /** Called when the connection is open. */
    onOpen: () => void;
    /** Called once when the connection is free for another request. It may then be idle for `idleMs` at most. */
    onFree: (idleMs: number) => void;
    /** Called once when the connection has ended. */
    onClose: () => void;
}

interface Exchange {
    handlers: PooledResponseHandlers;
    reader: ReturnType<typeof createAnswerReader>;
    /** Whether any byte of the request may have reached the target. */
    sent: boolean;
    /** Whether the connection may carry another request after the response, and for how long it may be idle before. */
    reusable: boolean;
    idleMs: number;
}

/** Longest time in ms until a connection is open. */
const CONNECT_TIMEOUT_MS = 1_000;
const LATE_REASON = "the connection didn't open in time";
const KEEP_ALIVE_PROBE_DELAY_MS = 1_000;
/** Ids of the latest requests of a connection that are remembered, and of its failed requests, after which it is closed. */
const MAX_CARRIED_IDS = 64;
const MAX_FAILED_IDS = 64;
const MIN_FAILURE_STATUS = 400;
const READ_BUFFER_BYTES = 65_536;
const CLOSE_OPTION = /(?:^|[\s,])close(?:$|[\s,])/i;

/** All connections read into the same memory: their handlers are done with the bytes, or have copied them, when they return. */
const readBuffer = Buffer.allocUnsafeSlow(READ_BUFFER_BYTES);

const encodeRequest = ({ method, path, headers, body }: TargetRequestMessage): Buffer => {
    let head = `${method} ${path} HTTP/1.1\r\n`;
    for (let index = 0; index + 1 < headers.length; index += 2) {
        head += `${headers[index]}: ${headers[index + 1]}\r\n`;
    }
    if (body === undefined) {
        return Buffer.from(`${head}\r\n`, "latin1");
    }
    return Buffer.concat([Buffer.from(`${head}content-length: ${body.length}\r\n\r\n`, "latin1"), body]);
};

/**
 * Creates one connection to a target, which carries one request at a time. It reads without the machinery of streams: a stream
 * of events costs the processor time of its reads, and most of that was spent there.
 */
export const createTargetConnection = ({ address, now, readAnswerId, onOpen, onFree, onClose }: ConnectionOptions) => {
    const target = parseAddress(address);
    let exchange: Exchange | undefined;
    let request: Buffer | undefined;
    let isOpen = false;
    let openedAtMs = now();
    let carriedRequests = 0;
    const carriedIds = new Set<string>();
    /** Ids of requests that may come again because the target refused them or failed. */
    const failedIds = new Set<string>();
    let isClosed = false;
    /** Whether the handler of the present read has asked for more. */
    let mayRead = true;

    const openSocket = (): Socket => {
        if (target === undefined) {
            // Node throws at a port out of range, and looks other hosts up as names.
            return new Socket().destroy(new Error(`${address} is not an IP number and a port`));
        }
        return createConnection({
            ...target,
            allowHalfOpen: true,
            noDelay: true,
            keepAlive: true,
            keepAliveInitialDelay: KEEP_ALIVE_PROBE_DELAY_MS,
            onread: { buffer: readBuffer, callback: bytesRead => handleRead(bytesRead) },
        });
    };
    const socket = openSocket();

    const close = (): void => {
        if (!isClosed) {
            isClosed = true;
            clearTimeout(connectTimer);
            socket.destroy();
            onClose();
        }
    };

    const connectTimer = setTimeout(() => fail(LATE_REASON), CONNECT_TIMEOUT_MS);

    const fail = (reason: string, malformed = false): void => {
        const failed = exchange;
        exchange = undefined;
        close();
        failed?.handlers.onFailure({ sent: failed.sent, malformed, reason });
    };

    const complete = (completed: Exchange, isReusable: boolean, endedWithConnection: boolean): void => {
        if (exchange !== completed) {
            return;
        }
        exchange = undefined;
        carriedRequests += 1;
        // A handler that has paused the last part of the answer must not hold up the next request.
        mayRead = true;
        // A target may answer before it has read the whole request. The rest of the request must not be taken for another one.
        if (isReusable && socket.writableLength === 0) {
            onFree(completed.idleMs);
        }
        else {
            close();
        }
        try {
            completed.handlers.onEnd(endedWithConnection);
        }
        catch (err) {
            // The request fails, whose exchange is over. Outside of this block the error would end the process.
            completed.handlers.onFailure({ sent: true, malformed: true, reason: (err as Error).message });
        }
    };

    const history = (): ConnectionHistory => ({ ageMs: now() - openedAtMs, carriedRequests });

    const rememberId = (id: string): void => {
        carriedIds.add(id);
        const [oldest] = carriedIds;
        if (carriedIds.size > MAX_CARRIED_IDS && oldest !== undefined) {
            carriedIds.delete(oldest);
        }
    };

    const handleRead = (bytesRead: number): boolean => {
        if (exchange === undefined) {
            // Bytes that belong to no request spoil the connection.
            close();
            return true;
        }
        mayRead = true;
        try {
            exchange.reader.push(readBuffer.subarray(0, bytesRead));
        }
        catch (err) {
            fail((err as Error).message, true);
        }
        return mayRead;
    };

    const writeRequest = (): void => {
        if (exchange !== undefined && request !== undefined) {
            exchange.sent = true;
            socket.write(request);
            request = undefined;
        }
    };

    const handleEnd = (): void => {
        if (exchange === undefined) {
            close();
            return;
        }
        if (!exchange.reader.isCloseDelimited()) {
            fail("the connection ended inside the answer");
            return;
        }
        // Data and a reset that arrive together look like an orderly end. A write reveals the reset as an error, before the
        // immediate callback. An empty line between requests means nothing to a target that has closed the connection.
        const ended = exchange;
        socket.write("\r\n");
        setImmediate(() => complete(ended, false, true));
    };

    socket.once("connect", () => {
        if (now() - openedAtMs >= CONNECT_TIMEOUT_MS) {
            // The process stood still meanwhile. What is sent now may be outdated, such as the order of a former planner.
            fail(LATE_REASON);
            return;
        }
        isOpen = true;
        openedAtMs = now();
        clearTimeout(connectTimer);
        onOpen();
        writeRequest();
    });
    socket.once("end", handleEnd);
    socket.on("error", err => fail(err.message));
    socket.once("close", () => fail("the connection was closed"));

    return {
        /** Sends a request. Only a connection that was never used or has reported to be free may be given one. */
        send: (message: TargetRequestMessage, handlers: PooledResponseHandlers): void => {
            const current: Exchange = {
                handlers,
                sent: false,
                reusable: false,
                idleMs: 0,
                reader: createAnswerReader({
                    message,
                    history,
                    readAnswerId,
                    onForeignAnswer: (status, answerId) => handlers.onForeignAnswer(status, answerId, history()),
                    onHead: (status, headers) => {
                        if (exchange !== current) {
                            return;
                        }
                        if (status >= MIN_FAILURE_STATUS && message.requestId !== undefined) {
                            failedIds.add(message.requestId);
                        }
                        current.reusable = failedIds.size < MAX_FAILED_IDS && !CLOSE_OPTION.test(headers.connection ?? "");
                        current.idleMs = keepAliveMs(headers["keep-alive"]);
                        handlers.onHead(status, headers, history());
                    },
                    onBody: bytes => {
                        if (exchange === current) {
                            mayRead = handlers.onChunk(bytes) && mayRead;
                        }
                    },
                    onComplete: surplus => {
                        const isReusable = current.reusable && surplus === 0 && !current.reader.mayConfuseNextRequest();
                        complete(current, isReusable, false);
                    },
                }),
            };
            exchange = current;
            if (message.requestId !== undefined) {
                rememberId(message.requestId);
            }
            request = encodeRequest(message);
            if (isOpen) {
                writeRequest();
            }
        },
        /** Whether a late copy of an answer could be taken for that to another request with the id. */
        hasCarried: (requestId: string | undefined): boolean =>
            requestId !== undefined && (carriedIds.has(requestId) || failedIds.has(requestId)),
        resume: (): void => void socket.resume(),
        /** Closes the connection. The request on it gets no further callback. */
        close: (): void => {
            exchange = undefined;
            close();
        },
    };
};
