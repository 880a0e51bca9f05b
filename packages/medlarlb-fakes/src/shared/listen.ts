import type { AddressInfo, Server } from "node:net";

/** Makes a server listen on loopback and returns its port. Port 0 chooses a free port. */
export const listen = (server: Server, port: number): Promise<number> =>
    new Promise((resolve, reject) => {
        server.once("error", reject);
        server.listen(port, "127.0.0.1", () => resolve((server.address() as AddressInfo).port));
    });
