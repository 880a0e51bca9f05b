import { connect, createServer } from "node:net";
import type { Socket } from "node:net";
import { listen } from "../../shared/listen.js";

/** Creates a proxy before a server on loopback that can delay the bytes of its clients or hold them back, and keeps their order. */
export const createHoldingProxy = async (targetAddress: string) => {
    const [host, port] = targetAddress.split(":");
    const sockets = new Set<Socket>();
    const held: (() => void)[] = [];
    let delayMs = 0;
    let heldBytes = 0;

    const track = (socket: Socket): Socket => {
        sockets.add(socket);
        socket.on("error", () => socket.destroy());
        socket.on("close", () => sockets.delete(socket));
        return socket;
    };

    const sendHeld = (count: number): void => held.splice(0, count).forEach(send => send());

    const server = createServer(socket => {
        const client = track(socket);
        const upstream = track(connect(Number(port), host));
        client.on("close", () => upstream.destroy());
        upstream.on("close", () => client.destroy());
        upstream.pipe(client);
        client.on("data", (chunk: Buffer) => {
            if (delayMs === 0) {
                upstream.write(chunk);
                return;
            }
            heldBytes += chunk.length;
            let isSent = false;
            const send = (): void => {
                isSent = true;
                upstream.write(chunk);
            };
            held.push(send);
            if (Number.isFinite(delayMs)) {
                setTimeout(() => isSent || sendHeld(held.indexOf(send) + 1), delayMs);
            }
        });
    });

    return {
        address: `127.0.0.1:${await listen(server, 0)}`,
        /** Returns the number of bytes that were held back so far. */
        heldBytes: (): number => heldBytes,
        /** Delays bytes that come from now on by a time in ms, or holds them back if it isn't finite. 0 lets all through. */
        setDelay: (nextMs: number): void => {
            delayMs = nextMs;
            if (delayMs === 0) {
                sendHeld(held.length);
            }
        },
        close: (): void => {
            sockets.forEach(socket => socket.destroy());
            server.close();
        },
    };
};
