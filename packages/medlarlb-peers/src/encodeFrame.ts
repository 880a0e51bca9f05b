import { frameCodec } from "./frameCodec.js";
import type { PeerMessage } from "./peerMessage.js";

const LENGTH_BYTES = 4;

/** Encodes a message as a frame: the body's length in 4 bytes, big-endian, and the body in CBOR. */
export const encodeFrame = (message: PeerMessage): Buffer => {
    const body = frameCodec.encode(message);
    const frame = Buffer.allocUnsafe(LENGTH_BYTES + body.length);
    frame.writeUInt32BE(body.length, 0);
    body.copy(frame, LENGTH_BYTES);
    return frame;
};
