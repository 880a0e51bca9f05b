import type { Server } from "node:net";

/**
 * Starts a server at an address of the form `IP:PORT`, and resolves when it listens. `onError` is called for each later error, such
 * as a lack of descriptors for a connection: the server goes on, and an error without a listener would end the process.
 */
export const listenAt = (server: Server, address: string, onError: (err: Error) => void): Promise<void> =>
    new Promise((resolve, reject) => {
        const [host, port] = address.split(":");
        server.once("error", reject);
        server.listen(Number(port), host, () => {
            server.off("error", reject);
            server.on("error", onError);
            resolve();
        });
    });
