import type { createConnectionPool } from "./createConnectionPool.js";
import { createTargetConnection } from "./createTargetConnection.js";

/**
 * Creates a substitute for the pool of connections that opens one for each request. A target can put a late second answer to an
 * earlier request before the next answer on the same connection, so only the first answer on a connection is surely the
 * request's own if answers carry no id.
 */
export const createSingleUseConnections = (): ReturnType<typeof createConnectionPool> => {
    const connections = new Set<ReturnType<typeof createTargetConnection>>();
    return {
        send: (address, message, handlers) => {
            const connection = createTargetConnection({
                address,
                onOpen: () => undefined,
                onFree: () => connection.close(),
                onClose: () => connections.delete(connection),
            });
            connections.add(connection);
            connection.send({ ...message, headers: [...message.headers, "connection", "close"] }, handlers);
            return { abort: connection.close, resume: connection.resume };
        },
        close: () => [...connections].forEach(connection => connection.close()),
    };
};
