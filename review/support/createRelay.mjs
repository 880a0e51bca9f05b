import { connect, createServer } from "node:net";

/** Creates a relay to a server on loopback. While it is silent, nothing passes in either direction, on new connections neither. */
export const createRelay = targetAddress => {
    const [host, port] = targetAddress.split(":");
    const sockets = new Set();
    let isSilent = false;

    const track = socket => {
        sockets.add(socket);
        socket.on("error", () => socket.destroy());
        socket.on("close", () => sockets.delete(socket));
        return socket;
    };

    const pass = (from, to) => from.on("data", bytes => {
        if (!isSilent) {
            to.write(bytes);
        }
    });

    const server = createServer(caller => {
        track(caller);
        const upstream = track(connect(Number(port), host));
        pass(caller, upstream);
        pass(upstream, caller);
        caller.on("close", () => upstream.destroy());
        upstream.on("close", () => !isSilent && caller.destroy());
    });
    return {
        server,
        /** Connections from a silent time stay dead and are reset at its end. */
        setSilent: next => {
            isSilent = next;
            if (!isSilent) {
                sockets.forEach(socket => socket.resetAndDestroy());
            }
        },
    };
};
