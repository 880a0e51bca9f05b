import { createConnection } from "node:net";
import type { ListeningState } from "medlarlb-types/listeningState";

/** Longest time in ms to wait for a response, a few round trips between regions. */
const PROBE_TIMEOUT_MS = 500;

/** Opens a connection to an address and closes it, to find out whether a process still listens there. */
export const probeListening = (address: string): Promise<ListeningState> => new Promise(resolve => {
    const [host, port] = address.split(":");
    const socket = createConnection({ host: host ?? "", port: Number(port) });
    const end = (state: ListeningState): void => {
        clearTimeout(timer);
        socket.destroy();
        resolve(state);
    };
    const timer = setTimeout(() => end("silent"), PROBE_TIMEOUT_MS);
    socket.once("connect", () => end("listening"));
    socket.once("error", (err: NodeJS.ErrnoException) => end(err.code === "ECONNREFUSED" ? "refused" : "silent"));
});
