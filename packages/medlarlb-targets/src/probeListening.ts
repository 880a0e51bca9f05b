import { createConnection } from "node:net";
import type { ListeningState } from "medlarlb-types/listeningState";
import { parseAddress } from "medlarlb-types/parseAddress";

/** Longest time in ms to wait for a response, a few round trips between regions. */
const PROBE_TIMEOUT_MS = 500;

/** Opens a connection to an address and closes it, to find out whether a process still listens there. */
export const probeListening = (address: string): Promise<ListeningState> => new Promise(resolve => {
    const target = parseAddress(address);
    if (target === undefined) {
        // Node throws at a port out of range, and looks other hosts up as names.
        resolve("silent");
        return;
    }
    const socket = createConnection(target);
    const end = (state: ListeningState): void => {
        clearTimeout(timer);
        socket.destroy();
        resolve(state);
    };
    const timer = setTimeout(() => end("silent"), PROBE_TIMEOUT_MS);
    socket.once("connect", () => end("listening"));
    socket.once("error", (err: NodeJS.ErrnoException) => end(err.code === "ECONNREFUSED" ? "refused" : "silent"));
});
