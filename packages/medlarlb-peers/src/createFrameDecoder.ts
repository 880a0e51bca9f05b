import { inflateRawSync } from "node:zlib";
import { frameCodec } from "./frameCodec.js";
import { frameLayout } from "./frameLayout.js";

const { lengthBytes, compressedFlag } = frameLayout;

/**
 * Creates the decoder of one connection's bytes. It throws when a frame is too long, isn't CBOR, or holds no message.
 * The connection has to be closed then.
 */
export const createFrameDecoder = (maxFrameBytes: number, onMessage: (message: { kind: string }) => void) => {
    let buffered: Buffer = Buffer.alloc(0);
    return (chunk: Buffer): void => {
        buffered = buffered.length === 0 ? chunk : Buffer.concat([buffered, chunk]);
        while (buffered.length >= lengthBytes) {
            const header = buffered.readUInt32BE(0);
            const isCompressed = header >= compressedFlag;
            const length = isCompressed ? header - compressedFlag : header;
            if (length > maxFrameBytes) {
                throw new Error(`a frame of ${length} bytes is over the limit of ${maxFrameBytes}`);
            }
            if (buffered.length < lengthBytes + length) {
                return;
            }
            const body = buffered.subarray(lengthBytes, lengthBytes + length);
            const plain = isCompressed ? inflateRawSync(body, { maxOutputLength: maxFrameBytes }) : body;
            const message = frameCodec.decode(plain) as { kind?: unknown } | null | undefined;
            buffered = buffered.subarray(lengthBytes + length);
            if (typeof message !== "object" || typeof message?.kind !== "string") {
                throw new Error("a frame holds no message");
            }
            onMessage(message as { kind: string });
        }
    };
};
