import { createConnection } from "node:net";
import type { Socket } from "node:net";

/** How a request on a connection of its own, or on a kept one, ended. */
interface RawAnswer {
    /** Status of the answer; 0 if there was none. */
    status: number;
    /** Whether the answer says that its connection closes. */
    closes: boolean;
    /** Why there was no answer: the connection was refused, so that nothing was accepted, or it broke. */
    failure: "refused" | "broken" | undefined;
}

const HEAD_END = "\r\n\r\n";
const LENGTH_FIELD = /^content-length: *(\d+)$/im;
const CLOSE_FIELD = /^connection: *close$/im;
const LAST_CHUNK = "\r\n0\r\n\r\n";

/** Returns the length of the first whole answer in a text, or undefined while it isn't whole. */
const findAnswerEnd = (text: string): number | undefined => {
    const headEnd = text.indexOf(HEAD_END);
    if (headEnd < 0) {
        return undefined;
    }
    const length = LENGTH_FIELD.exec(text.slice(0, headEnd))?.[1];
    if (length === undefined) {
        const lastChunk = text.indexOf(LAST_CHUNK, headEnd);
        return lastChunk < 0 ? undefined : lastChunk + LAST_CHUNK.length;
    }
    const end = headEnd + HEAD_END.length + Number(length);
    return end <= text.length ? end : undefined;
};

/**
 * Creates a caller on one connection that sees each byte and the end of the connection. A client library would repeat a request, or
 * drop a connection, by itself.
 */
export const createRawCaller = (address: string, host: string) => {
    const [ip = "", port] = address.split(":");
    const socket: Socket = createConnection({ host: ip, port: Number(port), allowHalfOpen: true, noDelay: true });
    let received = "";
    let isRefused = false;
    let isEnded = false;
    let notify: () => void = () => undefined;

    socket.on("data", bytes => {
        received += bytes.toString("latin1");
        notify();
    });
    socket.on("error", (err: NodeJS.ErrnoException) => {
        isRefused = err.code === "ECONNREFUSED";
    });
    for (const event of ["end", "close"]) {
        socket.on(event, () => {
            isEnded = true;
            notify();
        });
    }

    /** Waits until a condition holds or the connection has ended. */
    const waitUntilEndOr = async (condition: () => boolean): Promise<void> => {
        while (!condition() && !isEnded) {
            await new Promise<void>(resolve => {
                notify = resolve;
            });
        }
    };

    return {
        opened: (): Promise<void> => new Promise(resolve => socket.once("connect", () => resolve())),
        /** Writes a request without waiting for its answer. */
        write: (method: string, path: string, id: string): void => void socket.write(
            `${method} ${path} HTTP/1.1\r\nHost: ${host}\r\nX-Request-Id: ${id}\r\nX-Deadline-Ms: 2000\r\nContent-Length: 0\r\n\r\n`,
        ),
        /** Resolves to the next answer on the connection. */
        readAnswer: async (): Promise<RawAnswer> => {
            await waitUntilEndOr(() => findAnswerEnd(received) !== undefined);
            const end = findAnswerEnd(received);
            if (end === undefined) {
                return { status: 0, closes: true, failure: isRefused ? "refused" : "broken" };
            }
            const text = received.slice(0, end);
            received = received.slice(end);
            return { status: Number(text.split(" ")[1]), closes: CLOSE_FIELD.test(text.slice(0, text.indexOf(HEAD_END))), failure: undefined };
        },
        /** Resolves when some bytes have arrived, or the connection has ended. */
        readSome: (): Promise<void> => waitUntilEndOr(() => received.length > 0),
        isEnded: (): boolean => isEnded,
        close: (): void => void socket.destroy(),
    };
};
