import type { ServerResponse } from "node:http";

/** Sends a response with a JSON body. */
export const sendJson = (res: ServerResponse, status: number, body: unknown): void => {
    res.writeHead(status, { "content-type": "application/json" });
    res.end(JSON.stringify(body));
};
