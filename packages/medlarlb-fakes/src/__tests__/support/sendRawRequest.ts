import { createConnection } from "node:net";

/** How a request on a connection of its own ended. */
interface RawResult {
    /** Status of the answer; 0 if there was none. */
    status: number;
    /** Everything that was received after the status line. */
    text: string;
    tookMs: number;
}

/** Longest time in ms for which an answer is awaited. */
const MAX_WAIT_MS = 5_000;
const STATUS_LINE = /^HTTP\/1\.1 (\d{3})/;

/**
 * Sends a request with the given header lines on a connection of its own, and reads until that ends. A client library would refuse
 * odd lines, or change them.
 */
export const sendRawRequest = (address: string, path: string, lines: readonly string[]): Promise<RawResult> =>
    new Promise(resolve => {
        const [host = "", port] = address.split(":");
        const startedAtMs = performance.now();
        const socket = createConnection({ host, port: Number(port), noDelay: true });
        let text = "";
        socket.setEncoding("latin1");
        socket.setTimeout(MAX_WAIT_MS, () => socket.destroy());
        socket.on("data", part => {
            text += String(part);
        });
        socket.on("error", () => socket.destroy());
        socket.on("close", () => resolve({ status: Number(STATUS_LINE.exec(text)?.[1] ?? 0), text, tookMs: performance.now() - startedAtMs }));
        socket.write(Buffer.from([`GET ${path} HTTP/1.1`, ...lines, "Connection: close", "", ""].join("\r\n"), "latin1"));
    });
