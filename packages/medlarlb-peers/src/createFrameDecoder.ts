import { frameCodec } from "./frameCodec.js";
import type { PeerMessage } from "./peerMessage.js";

const LENGTH_BYTES = 4;

/**
 * Creates the decoder of one connection's bytes. It throws when a frame is too long, isn't CBOR, or holds no message.
 * The connection has to be closed then.
 */
export const createFrameDecoder = (maxFrameBytes: number, onMessage: (message: PeerMessage) => void) => {
    let buffered: Buffer = Buffer.alloc(0);
    return (chunk: Buffer): void => {
        buffered = buffered.length === 0 ? chunk : Buffer.concat([buffered, chunk]);
        while (buffered.length >= LENGTH_BYTES) {
            const length = buffered.readUInt32BE(0);
            if (length > maxFrameBytes) {
                throw new Error(`a frame of ${length} bytes is over the limit of ${maxFrameBytes}`);
            }
            if (buffered.length < LENGTH_BYTES + length) {
                return;
            }
            const message = frameCodec.decode(buffered.subarray(LENGTH_BYTES, LENGTH_BYTES + length)) as PeerMessage | undefined;
            buffered = buffered.subarray(LENGTH_BYTES + length);
            if (typeof message !== "object" || typeof message.kind !== "string") {
                throw new Error("a frame holds no message");
            }
            onMessage(message);
        }
    };
};
