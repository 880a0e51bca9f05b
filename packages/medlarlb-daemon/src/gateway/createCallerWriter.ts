import { createDrainListener } from "./createDrainListener.js";
import { encodeChunk } from "./encodeChunk.js";
import type { IngressCall } from "./ingressCall.js";

/** Status and headers of an answer. */
interface Head {
    status: number;
    headers: [string, string][];
}

/** Creates the writer of an answer to a caller. `onDrain` is called when the caller takes more after a write returned false. */
export const createCallerWriter = ({ req, res }: IngressCall, onDrain: () => void) => {
    const resumeAfterDrain = createDrainListener(onDrain);

    const writeHead = ({ status, headers }: Head, length: number | undefined): void => {
        if (!res.headersSent) {
            res.writeHead(status, [...headers.flat(), ...(length === undefined ? [] : ["content-length", String(length)])]);
        }
    };

    /** Writes part of a body that has a length. */
    const write = (bytes: Buffer): boolean => {
        const hasCapacity = res.write(bytes);
        if (!hasCapacity) {
            resumeAfterDrain(res);
        }
        return hasCapacity;
    };

    return {
        writeHead,
        write,
        /**
         * Writes part of a body without a length as one chunk, together with the headers if it is the first. `res.write` would
         * make four writes of it, which costs a stream of small events more than the rest of their way.
         */
        writeChunk: (head: Head, bytes: Buffer): boolean => {
            const socket = res.socket ?? undefined;
            if (socket === undefined || req.httpVersionMinor === 0) {
                writeHead(head, undefined);
                return write(Buffer.from(bytes));
            }
            if (!res.headersSent) {
                // The headers and the first events leave in one write.
                socket.cork();
                process.nextTick(() => socket.uncork());
                writeHead(head, undefined);
                res.flushHeaders();
            }
            const hasCapacity = socket.write(encodeChunk(bytes));
            if (!hasCapacity) {
                resumeAfterDrain(socket);
            }
            return hasCapacity;
        },
    };
};
