/** Longest event of a stream, in bytes. */
const MAX_EVENT_BYTES = 1_048_576;
const BLANK_LINE = Buffer.from("\n\n");
const ID_FIELD = /^id: ?(.*)$/m;

interface StreamEvent {
    bytes: Buffer;
    id: string | undefined;
}

/**
 * Creates a splitter of server-sent events. It returns whole events only, so that a stream that breaks off inside an
 * event can resume after the last whole one.
 */
export const createSseSplitter = () => {
    let buffered: Buffer = Buffer.alloc(0);
    return {
        push: (chunk: Buffer): StreamEvent[] => {
            buffered = buffered.length === 0 ? chunk : Buffer.concat([buffered, chunk]);
            const events: StreamEvent[] = [];
            for (let end = buffered.indexOf(BLANK_LINE); end >= 0; end = buffered.indexOf(BLANK_LINE)) {
                const bytes = buffered.subarray(0, end + BLANK_LINE.length);
                buffered = buffered.subarray(end + BLANK_LINE.length);
                events.push({ bytes, id: ID_FIELD.exec(bytes.toString("utf8"))?.[1] });
            }
            if (buffered.length > MAX_EVENT_BYTES) {
                throw new Error(`an event of the stream is longer than ${MAX_EVENT_BYTES} bytes`);
            }
            return events;
        },
        /** Returns the number of bytes received after the last whole event. */
        bufferedBytes: (): number => buffered.length,
    };
};
