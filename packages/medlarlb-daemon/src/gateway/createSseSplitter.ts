/** Longest event of a stream, in bytes. */
const MAX_EVENT_BYTES = 1_048_576;
const BLANK_LINE = Buffer.from("\n\n");
const ID_FIELD = /^id: ?(.*)$/m;

interface StreamEvent {
    bytes: Buffer;
    id: string | undefined;
}

const readId = (event: Buffer): string | undefined => ID_FIELD.exec(event.toString("utf8"))?.[1];

/**
 * Creates a splitter of server-sent events. It returns whole events only, so that a stream that breaks off inside an
 * event can resume after the last whole one.
 */
export const createSseSplitter = () => {
    let incomplete: Buffer | undefined;
    return {
        /** Returns the whole events that are known with a further part of the stream, as one block; undefined if there are none. */
        push: (part: Buffer): Buffer | undefined => {
            const bytes = incomplete === undefined ? part : Buffer.concat([incomplete, part]);
            const end = bytes.lastIndexOf(BLANK_LINE) + BLANK_LINE.length;
            const hasEvents = end >= BLANK_LINE.length;
            const rest = hasEvents ? bytes.subarray(end) : bytes;
            if (rest.length > MAX_EVENT_BYTES) {
                throw new Error(`an event of the stream is longer than ${MAX_EVENT_BYTES} bytes`);
            }
            // The caller may use the memory of a part again.
            incomplete = rest.length === 0 ? undefined : Buffer.from(rest);
            return hasEvents ? bytes.subarray(0, end) : undefined;
        },
        /** Returns the number of bytes received after the last whole event. */
        bufferedBytes: (): number => incomplete?.length ?? 0,
        /** Splits a block into its events. */
        list: (block: Buffer): StreamEvent[] => {
            const events: StreamEvent[] = [];
            let start = 0;
            for (let end = block.indexOf(BLANK_LINE); end >= 0; end = block.indexOf(BLANK_LINE, start)) {
                const bytes = block.subarray(start, end + BLANK_LINE.length);
                start = end + BLANK_LINE.length;
                events.push({ bytes, id: readId(bytes) });
            }
            return events;
        },
        /** Returns the id of the last event of a block that has one. */
        lastId: (block: Buffer): string | undefined => {
            const start = block.lastIndexOf(BLANK_LINE, block.length - BLANK_LINE.length - 1);
            return readId(start < 0 ? block : block.subarray(start + BLANK_LINE.length));
        },
    };
};
