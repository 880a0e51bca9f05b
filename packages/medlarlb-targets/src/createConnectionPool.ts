import { createTargetConnection } from "./createTargetConnection.js";
import type { PooledRequest } from "./pooledRequest.js";
import type { PooledResponseHandlers } from "./pooledResponseHandlers.js";
import type { TargetRequestMessage } from "./targetRequestMessage.js";

interface IdleConnection {
    connection: ReturnType<typeof createTargetConnection>;
    untilMs: number;
}

interface PoolOptions {
    now: () => number;
    countConnection: () => void;
    /** Returns the id of the request that an answer names. */
    readAnswerId: (headers: Record<string, string>) => string | undefined;
}

/** Longest idle time in ms of a connection, shorter than targets and middleboxes keep one. A target may state a shorter time. */
const IDLE_TIMEOUT_MS = 8_000;
/** Part of the idle time that a target states for which a connection is used, so that the target hardly closes it meanwhile. */
const STATED_IDLE_RATIO = 0.5;
/** Idle connections that are kept for one target. */
const MAX_IDLE_CONNECTION_COUNT = 32;
/** Failed requests, at all targets together, that are remembered: those of minutes at the load of one instance. */
const MAX_FAILED_REQUESTS = 4_096;
const MIN_FAILURE_STATUS = 400;
/** Interval in ms at which connections that have been idle too long are closed. */
const CLEANUP_INTERVAL_MS = 2_000;

/**
 * Creates the pool of connections to targets. Each connection carries one request at a time, so that an incomplete
 * response, or bytes after a response, affect only that connection.
 */
export const createConnectionPool = ({ now, countConnection, readAnswerId }: PoolOptions) => {
    const idleByAddress = new Map<string, IdleConnection[]>();
    /** Requests that a target has refused or failed, as `ADDRESS ID`, the latest last. */
    const failedRequests = new Set<string>();

    const rememberFailure = (address: string, requestId: string): void => {
        const key = `${address} ${requestId}`;
        failedRequests.delete(key);
        failedRequests.add(key);
        const [oldest] = failedRequests;
        if (failedRequests.size > MAX_FAILED_REQUESTS && oldest !== undefined) {
            failedRequests.delete(oldest);
        }
    };

    const discard = (address: string, connection: IdleConnection["connection"]): void => {
        const idle = idleByAddress.get(address) ?? [];
        const position = idle.findIndex(each => each.connection === connection);
        if (position >= 0) {
            // In place, because `acquire` may be going through the list.
            idle.splice(position, 1);
        }
        if (idle.length === 0) {
            idleByAddress.delete(address);
        }
    };

    const release = (address: string, connection: IdleConnection["connection"], idleMs: number): void => {
        const idle = idleByAddress.get(address) ?? [];
        const untilMs = now() + Math.min(IDLE_TIMEOUT_MS, idleMs * STATED_IDLE_RATIO);
        if (idle.length >= MAX_IDLE_CONNECTION_COUNT || untilMs <= now()) {
            connection.close();
            return;
        }
        idle.push({ connection, untilMs });
        idleByAddress.set(address, idle);
    };

    const open = (address: string): IdleConnection["connection"] => {
        const connection = createTargetConnection({
            address,
            now,
            readAnswerId,
            onOpen: countConnection,
            onFree: idleMs => release(address, connection, idleMs),
            onClose: () => discard(address, connection),
        });
        return connection;
    };

    /**
     * Returns the idle connection that was used last and hasn't carried a request with this id, or a new one. A request that has failed
     * at the target before always gets a new one.
     */
    const acquire = (address: string, { requestId }: TargetRequestMessage): IdleConnection["connection"] => {
        if (requestId === "") {
            // Only the first answer of a connection can be told to be that of a request without an id.
            return open(address);
        }
        const idle = idleByAddress.get(address) ?? [];
        idle.filter(each => now() >= each.untilMs).forEach(each => each.connection.close());
        // A target may write the answer to a failed request once more, on any connection that it knows.
        const hasFailed = requestId !== undefined && failedRequests.has(`${address} ${requestId}`);
        const position = hasFailed ? -1 : idle.findLastIndex(each => !each.connection.hasCarried(requestId));
        const [latest] = position < 0 ? [] : idle.splice(position, 1);
        if (latest === undefined) {
            // The new connection takes the place of one, because targets accept a limited number of them.
            idle.at(-1)?.connection.close();
        }
        return latest?.connection ?? open(address);
    };

    const closeExpired = (): void => {
        for (const { connection, untilMs } of [...idleByAddress.values()].flat()) {
            if (now() >= untilMs) {
                connection.close();
            }
        }
    };
    const cleanup = setInterval(closeExpired, CLEANUP_INTERVAL_MS);
    cleanup.unref();

    return {
        send: (address: string, message: TargetRequestMessage, handlers: PooledResponseHandlers): PooledRequest => {
            const connection = acquire(address, message);
            let ended = false;
            connection.send(message, {
                ...handlers,
                onHead: (status, headers, history) => {
                    if (status >= MIN_FAILURE_STATUS && message.requestId !== undefined) {
                        rememberFailure(address, message.requestId);
                    }
                    handlers.onHead(status, headers, history);
                },
                onEnd: endedWithConnection => {
                    ended = true;
                    handlers.onEnd(endedWithConnection);
                },
                onFailure: failure => {
                    ended = true;
                    handlers.onFailure(failure);
                },
            });
            return {
                abort: () => {
                    if (!ended) {
                        ended = true;
                        connection.close();
                    }
                },
                resume: () => {
                    if (!ended) {
                        connection.resume();
                    }
                },
            };
        },
        close: (): void => {
            clearInterval(cleanup);
            [...idleByAddress.values()].flat().forEach(({ connection }) => connection.close());
        },
    };
};
