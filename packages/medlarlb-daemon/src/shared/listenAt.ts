import type { Server } from "node:net";

/** Lets a server listen at an IP number and port. */
export const listenAt = (server: Server, address: string): Promise<void> =>
    new Promise((resolve, reject) => {
        const [host, port] = address.split(":");
        server.once("error", reject);
        server.listen(Number(port), host, () => resolve());
    });
