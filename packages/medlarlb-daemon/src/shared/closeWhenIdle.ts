import { Server } from "node:net";

/**
 * Longest time in ms that a turn of the event loop may take after which no connection can be waiting. It bounds the moment between
 * the system call that found none and the one that closes the socket.
 */
const MAX_TURN_MS = 0.2;
/** Further times in ms of a turn that are accepted when a busy process hasn't had a shorter one for a while. */
const LATER_TURN_MS = 2;
/** Time in ms for which only the shortest turns count. */
const SHORT_TURN_PERIOD_MS = 300;

/**
 * Closes a listening socket when the kernel holds no connection that hasn't been accepted, since it would reset these. The event
 * loop accepts one connection in a turn, so that a turn without one shows that there was none. Connections stay open, unlike with
 * the `close` of an HTTP server, which destroys those without a request although one may be on its way. Resolves when the socket
 * is closed, at the latest after a time in ms.
 */
export const closeWhenIdle = (server: Server, timeoutMs: number): Promise<void> => new Promise(resolve => {
    const startedAtMs = performance.now();
    let turnAtMs = startedAtMs;
    let hasAccepted = true;
    const recordConnection = (): void => {
        hasAccepted = true;
    };
    const checkTurn = (): void => {
        const nowMs = performance.now();
        const maxTurnMs = nowMs - startedAtMs < SHORT_TURN_PERIOD_MS ? MAX_TURN_MS : LATER_TURN_MS;
        if ((!hasAccepted && nowMs - turnAtMs <= maxTurnMs) || nowMs - startedAtMs >= timeoutMs) {
            server.off("connection", recordConnection);
            Server.prototype.close.call(server);
            resolve();
            return;
        }
        hasAccepted = false;
        turnAtMs = nowMs;
        setImmediate(checkTurn);
    };
    server.on("connection", recordConnection);
    setImmediate(checkTurn);
});
