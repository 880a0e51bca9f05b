import { createServer } from "node:net";
import type { AddressInfo } from "node:net";

/** Returns a loopback port that no process listens on at the moment. */
export const findFreePort = (): Promise<number> =>
    new Promise((resolve, reject) => {
        const server = createServer();
        server.once("error", reject);
        server.listen(0, "127.0.0.1", () => {
            const { port } = server.address() as AddressInfo;
            server.close(() => resolve(port));
        });
    });
