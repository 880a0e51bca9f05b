import type { Server } from "node:http";
import type { AddressInfo } from "node:net";

/** Starts to listen on loopback and returns the port. Port 0 takes a free one. */
export const listen = (server: Server, port: number): Promise<number> =>
    new Promise((resolve, reject) => {
        server.once("error", reject);
        server.listen(port, "127.0.0.1", () => resolve((server.address() as AddressInfo).port));
    });
