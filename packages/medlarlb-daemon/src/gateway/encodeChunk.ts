const HEX_RADIX = 16;
const LINE_END = "\r\n";

/** Encodes bytes of a body as one chunk of HTTP's chunked transfer coding. The result doesn't share memory with `bytes`. */
export const encodeChunk = (bytes: Buffer): Buffer => {
    const size = `${bytes.length.toString(HEX_RADIX)}${LINE_END}`;
    const chunk = Buffer.allocUnsafe(size.length + bytes.length + LINE_END.length);
    chunk.write(size, 0, "latin1");
    bytes.copy(chunk, size.length);
    chunk.write(LINE_END, size.length + bytes.length, "latin1");
    return chunk;
};
