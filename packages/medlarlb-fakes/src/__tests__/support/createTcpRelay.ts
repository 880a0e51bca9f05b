import { connect, createServer } from "node:net";
import type { Socket } from "node:net";
import { listen } from "../../shared/listen.js";

/** Creates a relay between the processes of a test and a server on loopback that can be cut: connections are reset, new ones too. */
export const createTcpRelay = async (targetAddress: string) => {
    const [host, port] = targetAddress.split(":");
    const sockets = new Set<Socket>();
    let isCut = false;

    const track = (socket: Socket): Socket => {
        sockets.add(socket);
        socket.on("error", () => socket.destroy());
        socket.on("close", () => sockets.delete(socket));
        return socket;
    };

    const server = createServer(socket => {
        track(socket);
        if (isCut) {
            socket.resetAndDestroy();
            return;
        }
        const upstream = track(connect(Number(port), host));
        socket.on("close", () => upstream.destroy());
        upstream.on("close", () => socket.destroy());
        socket.pipe(upstream).pipe(socket);
    });
    const address = `127.0.0.1:${await listen(server, 0)}`;

    return {
        address,
        setCut: (next: boolean): void => {
            isCut = next;
            if (isCut) {
                sockets.forEach(socket => socket.resetAndDestroy());
            }
        },
        close: (): void => {
            sockets.forEach(socket => socket.destroy());
            server.close();
        },
    };
};
