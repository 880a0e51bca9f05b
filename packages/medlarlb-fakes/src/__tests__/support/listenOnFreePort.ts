import type { Server } from "node:http";
import { listen } from "../../shared/listen.js";

/** Has a server listen on a free port and returns its address. */
export const listenOnFreePort = async (server: Server): Promise<string> => `127.0.0.1:${await listen(server, 0)}`;
