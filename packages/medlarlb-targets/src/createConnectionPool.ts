import { Client, buildConnector, errors } from "undici";
import type { Dispatcher } from "undici";
import type { PooledRequest } from "./pooledRequest.js";
import type { PooledResponseHandlers } from "./pooledResponseHandlers.js";

interface RequestOptions {
    method: string;
    path: string;
    /** Names and values in turn. */
    headers: string[];
    body: Buffer | undefined;
}

interface Connection {
    client: Client;
    idleSinceMs: number;
    timer: NodeJS.Timeout | undefined;
    /** Whether the connection ended with an error, such as a reset. */
    broken: boolean;
    /** Whether the target closed the connection in order. */
    closedByTarget: boolean;
    /** Whether the current response states no length, so that it ends only when the connection is closed. */
    isCloseDelimited: boolean;
}

interface PoolOptions {
    now: () => number;
    countConnection: () => void;
}

/** Longest time in ms until a connection is open. */
const CONNECT_TIMEOUT_MS = 1_000;
/** Longest idle time in ms of a connection, shorter than targets and middleboxes keep one. A target may state a shorter time. */
const IDLE_TIMEOUT_MS = 8_000;
/** Idle connections that are kept for one target. */
const MAX_IDLE_CONNECTION_COUNT = 32;
/** Error codes of a connection that was reset. */
const RESET_CODES: ReadonlySet<string> = new Set(["EPIPE", "ECONNRESET", "ENOTCONN"]);

/** Returns whether the headers determine where a response ends, so that it doesn't end only with its connection. */
const isSelfDelimited = (headers: Record<string, string | string[] | undefined>): boolean =>
    headers["content-length"] !== undefined || headers["transfer-encoding"] !== undefined;

/**
 * Creates the pool of connections to targets. Each connection carries one request at a time, so that an incomplete
 * response, or bytes after a response, affect only that connection.
 */
export const createConnectionPool = ({ now, countConnection }: PoolOptions) => {
    const connect = buildConnector({ timeout: CONNECT_TIMEOUT_MS, keepAlive: true, keepAliveInitialDelay: CONNECT_TIMEOUT_MS });
    const idleConnections = new Map<string, Connection[]>();

    const discard = (address: string, connection: Connection): void => {
        clearTimeout(connection.timer);
        const list = idleConnections.get(address);
        const index = list?.indexOf(connection) ?? -1;
        if (list !== undefined && index >= 0) {
            list.splice(index, 1);
        }
        void connection.client.destroy();
    };

    const openConnection = (address: string): Connection => {
        const connection: Connection = {
            client: undefined as never,
            idleSinceMs: 0,
            timer: undefined,
            broken: false,
            closedByTarget: false,
            isCloseDelimited: false,
        };
        const client = new Client(`http://${address}`, {
            pipelining: 1,
            keepAliveTimeout: IDLE_TIMEOUT_MS,
            keepAliveMaxTimeout: IDLE_TIMEOUT_MS,
            headersTimeout: 0,
            bodyTimeout: 0,
            connect: (options, callback) => connect(options, (...result) => {
                // The client treats a reset as the end of a response without a length, so the reset has to be recorded first.
                result[1]?.prependListener("error", (err: NodeJS.ErrnoException) => {
                    connection.broken ||= RESET_CODES.has(err.code ?? "");
                });
                result[1]?.prependListener("end", () => {
                    connection.closedByTarget = true;
                    if (connection.isCloseDelimited) {
                        // Data and a reset that arrive together look like an orderly end. Only a write reveals the reset.
                        // An empty line between requests means nothing to a target that has closed the connection.
                        result[1]?.write("\r\n", err => {
                            connection.broken ||= RESET_CODES.has((err as NodeJS.ErrnoException | undefined)?.code ?? "");
                        });
                    }
                });
                callback(...result);
            }),
        });
        connection.client = client;
        client.on("connect", countConnection);
        client.on("disconnect", () => discard(address, connection));
        return connection;
    };

    const acquire = (address: string): Connection => {
        const list = idleConnections.get(address) ?? [];
        for (let connection = list.pop(); connection !== undefined; connection = list.pop()) {
            clearTimeout(connection.timer);
            if (!connection.client.destroyed && now() - connection.idleSinceMs < IDLE_TIMEOUT_MS) {
                return connection;
            }
            void connection.client.destroy();
        }
        return openConnection(address);
    };

    const release = (address: string, connection: Connection): void => {
        const list = idleConnections.get(address) ?? [];
        idleConnections.set(address, list);
        if (connection.client.destroyed || list.length >= MAX_IDLE_CONNECTION_COUNT) {
            void connection.client.destroy();
            return;
        }
        connection.idleSinceMs = now();
        connection.timer = setTimeout(() => discard(address, connection), IDLE_TIMEOUT_MS);
        connection.timer.unref();
        list.push(connection);
    };

    const send = (address: string, req: RequestOptions, handlers: PooledResponseHandlers): PooledRequest => {
        const connection = acquire(address);
        let sent = false;
        let ended = false;
        let controller: Dispatcher.DispatchController | undefined;
        const fail = (err: NodeJS.ErrnoException): void => {
            if (!ended) {
                ended = true;
                void connection.client.destroy();
                handlers.onFailure({ sent, malformed: err instanceof errors.HTTPParserError, reason: err.message });
            }
        };
        const finish = (wasReset: boolean): void => {
            if (wasReset) {
                fail(new Error("the connection was reset inside the answer"));
            }
            else if (!ended) {
                ended = true;
                // The connection is free only after the client's callback has returned.
                setImmediate(() => release(address, connection));
                handlers.onEnd();
            }
        };
        connection.client.dispatch({
            method: req.method as Dispatcher.HttpMethod,
            path: req.path,
            headers: req.headers,
            ...(req.body === undefined ? {} : { body: req.body }),
            idempotent: false,
        }, {
            onRequestStart: requestController => {
                sent = true;
                controller = requestController;
            },
            onResponseStart: (_controller, status, headers) => {
                connection.isCloseDelimited = !isSelfDelimited(headers);
                if (!ended && status >= 200) {
                    handlers.onHead(status, headers);
                }
            },
            onResponseData: (requestController, chunk) => {
                if (!ended && !handlers.onChunk(chunk)) {
                    requestController.pause();
                }
            },
            onResponseEnd: () => {
                if (connection.isCloseDelimited) {
                    // By then the outcome of the write after the connection's end is known.
                    setImmediate(() => finish(connection.broken || !connection.closedByTarget));
                }
                else {
                    finish(connection.broken);
                }
            },
            onResponseError: (_controller, err) => fail(err),
        });
        return {
            abort: () => {
                if (!ended) {
                    ended = true;
                    void connection.client.destroy();
                }
            },
            resume: () => controller?.resume(),
        };
    };

    return {
        send,
        close: (): void => {
            for (const list of idleConnections.values()) {
                list.forEach(({ client, timer }) => {
                    clearTimeout(timer);
                    void client.destroy();
                });
            }
            idleConnections.clear();
        },
    };
};
