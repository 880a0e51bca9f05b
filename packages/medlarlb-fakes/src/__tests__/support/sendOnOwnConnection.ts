import { createConnection } from "node:net";
import { readCallerAnswer } from "./readCallerAnswer.js";

interface OwnConnectionOptions {
    path: string;
    /** Version of HTTP, such as `1.0`. */
    version: string;
    requestId: string;
    deadlineMs: number;
}

/** Sends a request to a gateway on a connection of its own, and reads the answer until the connection ends. */
export const sendOnOwnConnection = (address: string, { path, version, requestId, deadlineMs }: OwnConnectionOptions) =>
    new Promise<ReturnType<typeof readCallerAnswer> & { id: string }>(resolve => {
        const [host = "", port] = address.split(":");
        const socket = createConnection({ host, port: Number(port), allowHalfOpen: true });
        let text = "";
        let isReset = false;
        socket.on("data", bytes => {
            text += bytes.toString("latin1");
        });
        socket.on("error", () => {
            isReset = true;
        });
        socket.on("end", () => {
            // libuv shows data and a reset that arrive together as an orderly end. A write reveals the reset as an error.
            socket.write("\r\n");
            setImmediate(() => socket.destroy());
        });
        socket.on("close", () => resolve({ id: requestId, ...readCallerAnswer(text, isReset) }));
        const headers = ["Host: site.example", `X-Request-Id: ${requestId}`, `X-Deadline-Ms: ${deadlineMs}`, "Connection: close", "Content-Length: 0"];
        // Each path is another one: requests that are alike and end connections would be taken for the cause.
        socket.write([`POST ${path}/${requestId} HTTP/${version}`, ...headers, "", ""].join("\r\n"));
    });
