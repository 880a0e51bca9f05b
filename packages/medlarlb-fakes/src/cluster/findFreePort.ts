import { once } from "node:events";
import { createServer } from "node:net";

/** Ports below those that operating systems give to outgoing connections and to servers that ask for any port. */
const FIRST_PORT = 20_000;
const LAST_PORT = 32_767;

const givenPorts = new Set<number>();

const isFree = async (port: number): Promise<boolean> => {
    const server = createServer().listen(port, "127.0.0.1");
    try {
        await once(server, "listening");
    }
    catch {
        return false;
    }
    server.close();
    await once(server, "close");
    return true;
};

/**
 * Returns a loopback port that no process listens on at the moment. It isn't returned twice, since a process that is to listen on it
 * may not have started yet.
 */
export const findFreePort = async (): Promise<number> => {
    while (givenPorts.size <= LAST_PORT - FIRST_PORT) {
        const port = FIRST_PORT + Math.floor(Math.random() * (LAST_PORT - FIRST_PORT + 1));
        if (!givenPorts.has(port)) {
            givenPorts.add(port);
            if (await isFree(port)) {
                return port;
            }
        }
    }
    throw new Error(`no port from ${FIRST_PORT} to ${LAST_PORT} is left: end processes that listen on them`);
};
