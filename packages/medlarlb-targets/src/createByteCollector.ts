const INITIAL_CAPACITY_BYTES = 1_024;

/**
 * Creates a buffer that copies what is added to it. Its memory doubles when it is full, so that many small parts cost about
 * as much as a few large ones. `add` throws if the sum of the parts exceeds `maxBytes`.
 */
export const createByteCollector = (maxBytes: number, name: string) => {
    let memory: Buffer | undefined;
    let length = 0;
    return {
        add: (part: Buffer): void => {
            const newLength = length + part.length;
            if (newLength > maxBytes) {
                throw new Error(`${name} is longer than ${maxBytes} bytes`);
            }
            if (part.length === 0) {
                return;
            }
            if (memory === undefined || newLength > memory.length) {
                const larger = Buffer.allocUnsafeSlow(Math.min(maxBytes, Math.max(INITIAL_CAPACITY_BYTES, newLength * 2)));
                memory?.copy(larger, 0, 0, length);
                memory = larger;
            }
            part.copy(memory, length);
            length = newLength;
        },
        length: (): number => length,
        /** Returns all bytes and begins anew. */
        take: (): Buffer => {
            const bytes = memory?.subarray(0, length) ?? Buffer.alloc(0);
            memory = undefined;
            length = 0;
            return bytes;
        },
    };
};
