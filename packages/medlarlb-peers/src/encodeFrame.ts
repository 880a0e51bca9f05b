import { deflateRawSync } from "node:zlib";
import { frameCodec } from "./frameCodec.js";
import { frameLayout } from "./frameLayout.js";
import type { PeerMessage } from "./peerMessage.js";

/** Body length in bytes from which a body is compressed: configurations and lists of entries shrink to a tenth. */
const MIN_COMPRESSED_BYTES = 2_048;

/** Frames of messages that are sent to several instances. */
const frames = new WeakMap<PeerMessage, Buffer>();

/**
 * Encodes a message as a frame: the body's length in 4 bytes, big-endian, whose highest bit tells whether the body is
 * compressed, and the body in CBOR.
 */
export const encodeFrame = (message: PeerMessage): Buffer => {
    const known = frames.get(message);
    if (known !== undefined) {
        return known;
    }
    const plain = frameCodec.encode(message);
    const isCompressed = plain.length >= MIN_COMPRESSED_BYTES;
    const body = isCompressed ? deflateRawSync(plain) : plain;
    const frame = Buffer.allocUnsafe(frameLayout.lengthBytes + body.length);
    frame.writeUInt32BE(body.length + (isCompressed ? frameLayout.compressedFlag : 0), 0);
    body.copy(frame, frameLayout.lengthBytes);
    frames.set(message, frame);
    return frame;
};
