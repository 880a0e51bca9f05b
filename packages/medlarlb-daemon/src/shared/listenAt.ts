import type { Server } from "node:net";

/** Starts a server at an address of the form `IP:PORT`, and resolves when it listens. */
export const listenAt = (server: Server, address: string): Promise<void> =>
    new Promise((resolve, reject) => {
        const [host, port] = address.split(":");
        server.once("error", reject);
        server.listen(Number(port), host, () => resolve());
    });
