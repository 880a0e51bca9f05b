import { createByteCollector } from "medlarlb-targets/createByteCollector";
import { isEventLine } from "./isEventLine.js";

/** Longest event of a stream, in bytes. */
const MAX_EVENT_BYTES = 1_048_576;
const LINE_FEED = 10;
const CARRIAGE_RETURN = 13;
const BLANK_LINE = Buffer.from("\n\n");
/** Streams may begin with a byte order mark. In the middle of a stream it would be part of a field's name. */
const BYTE_ORDER_MARK = Buffer.from("\ufeff");
const ID_NAME = Buffer.from("id:");
/** A line ends with a line feed, a carriage return, or both. */
const EVENT_END = /(?:\r\n|\n|\r(?!\n)){2}/g;
const LAST_EVENT_END = /^[^]*(?:\r\n|\n|\r(?!\n)){2}/;
/** The last line of an event that is a field `id`. */
const ID_FIELD = /^(?:[^]*[\r\n])?id: ?([^\r\n]*)/;

const STATUS_LINE_START = Buffer.from("HTTP/1.");
const LEADING_LINE_ENDS = /^[\r\n]+/;
/** Lines with their ends. */
const LINES = /([^\r\n]*)(\r\n|\n|\r)/g;

interface StreamEvent {
    bytes: Buffer;
    id: string | undefined;
}

const readId = (event: Buffer): string | undefined => ID_FIELD.exec(event.toString("utf8"))?.[1];

/** Returns where the events of a block end whose lines end in any of the three ways. */
const findEventEnds = (block: Buffer): number[] =>
    [...block.toString("latin1").matchAll(EVENT_END)].map(({ index, 0: end }) => index + end.length);

const listEvents = (block: Buffer, hasReturns: boolean): StreamEvent[] => {
    const events: StreamEvent[] = [];
    let start = 0;
    const add = (end: number): void => {
        const bytes = block.subarray(start, end);
        start = end;
        events.push({ bytes, id: readId(bytes) });
    };
    if (hasReturns) {
        findEventEnds(block).forEach(add);
        return events;
    }
    for (let end = block.indexOf(BLANK_LINE); end >= 0; end = block.indexOf(BLANK_LINE, start)) {
        add(end + BLANK_LINE.length);
    }
    return events;
};

/** Returns whether all lines of an event are fields or comments that end alike. An event may end before its last line feed. */
const isUniform = ({ bytes }: StreamEvent): boolean => {
    const lines = [...bytes.toString("latin1").replace(LEADING_LINE_ENDS, "").matchAll(LINES)];
    const firstEnd = lines[0]?.[2];
    return lines.every(([, text = "", end], index) => isEventLine(text)
        && (end === firstEnd || (firstEnd === "\r\n" && end === "\r" && index === lines.length - 1)));
};

/**
 * Throws if a block has foreign text. An engine that fails may write the head of an answer into its stream, or an error with the line
 * ends of a head.
 */
const refuseForeignText = (block: Buffer, hasReturns: boolean): void => {
    const mayBeForeign = hasReturns || block.includes(STATUS_LINE_START);
    if (mayBeForeign && !listEvents(block, hasReturns).every(isUniform)) {
        throw new Error("the stream has text that isn't an event, or an event whose lines end in several ways");
    }
};

/**
 * Creates a splitter of server-sent events. It returns whole events only, so that a stream that breaks off inside an
 * event can resume after the last whole one.
 */
export const createSseSplitter = () => {
    const incomplete = createByteCollector(MAX_EVENT_BYTES, "an event of the stream");
    /** The line end with which the part before ended, and which a further one makes a blank line. */
    let lineEnd = "";
    /** Whether the part before ended with a blank line. Further line ends, such as the second half of one, belong to no event. */
    let isBetweenEvents = false;
    let isAtStart = true;
    /** Whether any part so far has a carriage return. Most streams have none, and are split faster. */
    let hasReturns = false;
    /** Number of bytes of a byte order mark with which the stream has begun. */
    let markBytes = 0;

    /** Returns where in a part the last blank line ends, which may begin in the part before it; 0 if there is none. */
    const findEnd = (part: Buffer): number => {
        if (hasReturns) {
            const [whole = ""] = LAST_EVENT_END.exec(lineEnd + part.toString("latin1")) ?? [];
            return Math.max(0, whole.length - lineEnd.length);
        }
        const position = part.lastIndexOf(BLANK_LINE);
        if (position >= 0) {
            return position + BLANK_LINE.length;
        }
        return lineEnd !== "" && part[0] === LINE_FEED ? 1 : 0;
    };

    const countLeadingLineEnds = (part: Buffer): number => {
        const length = part.findIndex(byte => byte !== LINE_FEED && byte !== CARRIAGE_RETURN);
        return length < 0 ? part.length : length;
    };

    /** Returns a part without the byte order mark, of which it may have the first bytes only. */
    const dropByteOrderMark = (part: Buffer): Buffer => {
        const length = Math.min(part.length, BYTE_ORDER_MARK.length - markBytes);
        if (BYTE_ORDER_MARK.compare(part, 0, length, markBytes, markBytes + length) === 0) {
            markBytes += length;
            isAtStart = markBytes < BYTE_ORDER_MARK.length;
            return part.subarray(length);
        }
        isAtStart = false;
        return markBytes === 0 ? part : Buffer.concat([BYTE_ORDER_MARK.subarray(0, markBytes), part]);
    };

    const readLineEnd = (part: Buffer, previous: string): string => {
        const last = part.at(-1);
        if (last === CARRIAGE_RETURN) {
            return "\r";
        }
        if (last !== LINE_FEED) {
            return "";
        }
        const beforeLast = part.length > 1 ? part.at(-2) === CARRIAGE_RETURN : previous === "\r";
        return beforeLast ? "\r\n" : "\n";
    };

    return {
        /**
         * Returns the whole events that are known with a further part of the stream, as one block; undefined if there are none. Throws
         * if they have foreign text.
         */
        push: (received: Buffer): Buffer | undefined => {
            const part = isAtStart ? dropByteOrderMark(received) : received;
            hasReturns ||= part.includes(CARRIAGE_RETURN);
            const end = Math.max(findEnd(part), isBetweenEvents ? countLeadingLineEnds(part) : 0);
            const whole = part.subarray(0, end);
            const block = incomplete.length() === 0 || end === 0 ? whole : Buffer.concat([incomplete.take(), whole]);
            const rest = part.subarray(end);
            incomplete.add(rest);
            lineEnd = readLineEnd(rest, end === 0 ? lineEnd : "");
            isBetweenEvents = end > 0 && rest.length === 0;
            if (end === 0) {
                return undefined;
            }
            refuseForeignText(block, hasReturns);
            return block;
        },
        /** Returns the number of bytes received after the last whole event. */
        bufferedBytes: (): number => incomplete.length(),
        /** Splits a block into its events. */
        list: (block: Buffer): StreamEvent[] => listEvents(block, hasReturns),
        /** Returns the number of events in a block. */
        count: (block: Buffer): number => {
            if (hasReturns) {
                return findEventEnds(block).length;
            }
            let count = 0;
            for (let end = block.indexOf(BLANK_LINE); end >= 0; end = block.indexOf(BLANK_LINE, end + BLANK_LINE.length)) {
                count += 1;
            }
            return count;
        },
        /** Returns the id of the last event of a block that has one. */
        lastId: (block: Buffer): string | undefined => {
            if (hasReturns) {
                return listEvents(block, true).findLast(({ id }) => id !== undefined)?.id;
            }
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
