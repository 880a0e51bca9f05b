import { createConnection, createServer } from "node:net";
import type { Server, Socket } from "node:net";
import type { InstanceId } from "medlarlb-types/instanceId";
import { parseAddress } from "medlarlb-types/parseAddress";
import { createPeerConnection } from "./createPeerConnection.js";
import { peerLimits } from "./peerLimits.js";
import type { PeerMessage } from "./peerMessage.js";

type Connection = ReturnType<typeof createPeerConnection>;

interface NetworkOptions {
    id: string;
    bootId: string;
    key: string;
    host: string;
    port: number;
    onMessage: (peerId: InstanceId, message: PeerMessage, reply: (message: PeerMessage) => void) => void;
    /** Called with a message that can't be read, or only in part, once for each kind and connection. */
    onBroken: (peerId: InstanceId, kind: string, reason: string) => void;
    /** Called with the reason when a connection was closed, or not accepted, because of a fault. */
    onClosed: (reason: string) => void;
    countBytes: (direction: "sent" | "received", bytes: number) => void;
}

/**
 * Creates the connections to other instances. A connection is opened when a message has to be sent, and replaced when it
 * ends. Messages wait for the handshake. Those that can't be sent are dropped, because their own protocol repeats each of
 * them or requests it again.
 */
export const createPeerNetwork = (options: NetworkOptions) => {
    const outgoing = new Map<string, { connection: Connection; waiting: PeerMessage[]; address: string }>();
    /** Times until which no connection to a peer is opened, because the last one never became ready. */
    const heldOffUntilMs = new Map<string, number>();
    const sockets = new Set<Socket>();

    const trackSocket = (socket: Socket): void => {
        sockets.add(socket);
        socket.on("data", chunk => options.countBytes("received", (chunk as Buffer).length));
        socket.on("close", () => sockets.delete(socket));
    };

    const reportFault = (fault: string | undefined): void => {
        if (fault !== undefined) {
            options.onClosed(fault);
        }
    };

    const server: Server = createServer(socket => {
        trackSocket(socket);
        const connection = createPeerConnection(socket, options, {
            onReady: () => undefined,
            onMessage: (peerId, message) => options.onMessage(peerId, message, reply => connection.send(reply)),
            onBroken: options.onBroken,
            onClose: reportFault,
            onSent: bytes => options.countBytes("sent", bytes),
        });
    });

    const openConnection = (peerId: InstanceId, address: string): void => {
        const target = parseAddress(address);
        if (target === undefined) {
            // Node throws at a port out of range, and looks other hosts up as names.
            heldOffUntilMs.set(peerId, performance.now() + peerLimits.reconnectDelayMs);
            options.onClosed(`the address ${address} of ${peerId} is not an IP number and a port`);
            return;
        }
        const socket = createConnection({ ...target, timeout: peerLimits.connectTimeoutMs });
        trackSocket(socket);
        const connection = createPeerConnection(socket, options, {
            onReady: id => {
                if (id !== peerId) {
                    connection.close(`another instance, ${id}, answers at the address of ${peerId}`);
                    return;
                }
                const entry = outgoing.get(peerId);
                entry?.waiting.splice(0).forEach(connection.send);
            },
            onMessage: (id, message) => options.onMessage(id, message, reply => connection.send(reply)),
            onBroken: options.onBroken,
            onClose: fault => {
                if (!connection.isReady()) {
                    heldOffUntilMs.set(peerId, performance.now() + peerLimits.reconnectDelayMs);
                }
                if (outgoing.get(peerId)?.connection === connection) {
                    outgoing.delete(peerId);
                }
                reportFault(fault);
            },
            onSent: bytes => options.countBytes("sent", bytes),
        });
        outgoing.set(peerId, { connection, waiting: [], address });
    };

    return {
        listen: (): Promise<void> =>
            new Promise((resolve, reject) => {
                server.once("error", reject);
                server.listen(options.port, options.host, () => {
                    server.off("error", reject);
                    server.on("error", err => options.onClosed(`the server has an error: ${err.message}`));
                    resolve();
                });
            }),
        send: (peerId: InstanceId, address: string, message: PeerMessage): void => {
            if (outgoing.get(peerId)?.address !== address) {
                if (performance.now() < (heldOffUntilMs.get(peerId) ?? 0)) {
                    return;
                }
                heldOffUntilMs.delete(peerId);
                outgoing.get(peerId)?.connection.close("the instance has another address now");
                openConnection(peerId, address);
            }
            const entry = outgoing.get(peerId);
            if (entry?.connection.isReady() === true) {
                entry.connection.send(message);
            }
            else {
                entry?.waiting.push(message);
            }
        },
        /** Closes the connection to a peer, so that the next message opens a new one. */
        reset: (peerId: InstanceId): void => {
            outgoing.get(peerId)?.connection.close("the connection is being replaced");
        },
        close: (): void => {
            server.close();
            for (const socket of sockets) {
                socket.destroy();
            }
        },
    };
};
