import { createByteCollector } from "medlarlb-targets/createByteCollector";

/** Longest event of a stream, in bytes. */
const MAX_EVENT_BYTES = 1_048_576;
const LINE_FEED = 10;
const BLANK_LINE = Buffer.from("\n\n");
const ID_NAME = Buffer.from("id:");
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
    const incomplete = createByteCollector(MAX_EVENT_BYTES, "an event of the stream");
    let endsWithLineFeed = false;

    /** Returns where in a part the last blank line ends, which may begin in the part before it; 0 if there is none. */
    const findEnd = (part: Buffer): number => {
        const position = part.lastIndexOf(BLANK_LINE);
        if (position >= 0) {
            return position + BLANK_LINE.length;
        }
        return endsWithLineFeed && part[0] === LINE_FEED ? 1 : 0;
    };

    return {
        /** Returns the whole events that are known with a further part of the stream, as one block; undefined if there are none. */
        push: (part: Buffer): Buffer | undefined => {
            const end = findEnd(part);
            const whole = part.subarray(0, end);
            const block = incomplete.length() === 0 || end === 0 ? whole : Buffer.concat([incomplete.take(), whole]);
            const rest = part.subarray(end);
            incomplete.add(rest);
            endsWithLineFeed = rest.at(-1) === LINE_FEED;
            return end === 0 ? undefined : block;
        },
        /** Returns the number of bytes received after the last whole event. */
        bufferedBytes: (): number => incomplete.length(),
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
        /** Returns the number of events in a block. */
        count: (block: Buffer): number => {
            let count = 0;
            for (let end = block.indexOf(BLANK_LINE); end >= 0; end = block.indexOf(BLANK_LINE, end + BLANK_LINE.length)) {
                count += 1;
            }
            return count;
        },
        /** Returns the id of the last event of a block that has one. */
        lastId: (block: Buffer): string | undefined => {
            let id: string | undefined;
            for (let end = block.includes(ID_NAME) ? block.length : 0; end > 0 && id === undefined;) {
                const previous = end > BLANK_LINE.length ? block.lastIndexOf(BLANK_LINE, end - BLANK_LINE.length - 1) : -1;
                const start = previous < 0 ? 0 : previous + BLANK_LINE.length;
                id = readId(block.subarray(start, end));
                end = start;
            }
            return id;
        },
    };
};
