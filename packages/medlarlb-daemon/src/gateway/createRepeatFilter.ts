import type { createSseSplitter } from "./createSseSplitter.js";
import type { createStreamProgress } from "./createStreamProgress.js";
import { isEventLine } from "./isEventLine.js";

/** Largest number of bytes that a continued stream may repeat of what the caller has received. */
const MAX_REPEATED_BYTES = 1_048_576;
const DATA_LINE = /^data(?::|$)/;
const LINE_END = /\r\n|\n|\r/;
const CONTINUATION = "the target that should continue the stream";

type StreamEvent = ReturnType<ReturnType<typeof createSseSplitter>["list"]>[number];

/**
 * Creates the filter of a stream that goes on, which drops the events up to the last delivered one. Event ids rise, and a run that
 * resumed from an earlier point repeats some of them.
 */
export const createRepeatFilter = (
    listEvents: ReturnType<typeof createSseSplitter>["list"],
    progress: ReturnType<typeof createStreamProgress>,
) => {
    let repeatedBytes = 0;
    let latestRepeatedId: string | undefined;
    let hasNewEvent = false;

    const join = (block: Buffer, events: readonly StreamEvent[]): Buffer => {
        const rest = Buffer.concat(events.map(event => event.bytes));
        repeatedBytes += block.length - rest.length;
        if (repeatedBytes > MAX_REPEATED_BYTES) {
            throw new Error(`the stream repeats more than ${MAX_REPEATED_BYTES} bytes that the caller has received`);
        }
        return rest;
    };

    /** Returns whether what has no id is passed on. It says nothing of its place, so that it may not come before the next event. */
    const keepUnnamed = (event: StreamEvent): boolean => {
        const lines = event.bytes.toString("utf8").split(LINE_END);
        if (!lines.every(isEventLine)) {
            throw new Error(`${CONTINUATION} sent text that isn't an event`);
        }
        const precedesLastEvent = latestRepeatedId !== undefined && latestRepeatedId !== progress.lastId();
        if (!hasNewEvent && !precedesLastEvent && lines.some(line => DATA_LINE.test(line))) {
            throw new Error(`${CONTINUATION} sent an event without an id before the next one`);
        }
        return hasNewEvent;
    };

    /** Returns whether an event is passed on, which is the next one after `previousId`, or dropped as repeated. */
    const keepNext = ({ id }: StreamEvent, previousId: string | undefined): boolean => {
        const isRising = latestRepeatedId === undefined || !progress.isUpTo(id, latestRepeatedId);
        if (!hasNewEvent && isRising && progress.isUpTo(id, previousId)) {
            latestRepeatedId = id;
            return false;
        }
        if (!progress.isNext(id, previousId)) {
            throw new Error(`${CONTINUATION} sent event ${id} after event ${previousId}`);
        }
        hasNewEvent = true;
        return true;
    };

    /** Returns whether an event of a stream that is taken up is passed on. One without an id belongs to those around it. */
    const keepUntaken = ({ id }: StreamEvent): boolean => {
        if (id === undefined) {
            return hasNewEvent || latestRepeatedId === undefined || progress.isUpTo(progress.lastId(), latestRepeatedId);
        }
        if (progress.isUpTo(id, progress.lastId())) {
            latestRepeatedId = hasNewEvent ? latestRepeatedId : id;
            return false;
        }
        hasNewEvent = true;
        return true;
    };

    return {
        /** Returns what is left of a block of a stream that a caller takes up. */
        skip: (block: Buffer): Buffer => join(block, listEvents(block).filter(keepUntaken)),
        /**
         * Returns what is left of a block of a stream of which the caller has received part from another target. Throws unless its events
         * follow that part without a gap.
         */
        continue: (block: Buffer): Buffer => {
            let previousId = progress.lastId();
            const rest = listEvents(block).filter(event => {
                const isKept = event.id === undefined ? keepUnnamed(event) : keepNext(event, previousId);
                previousId = isKept ? event.id ?? previousId : previousId;
                return isKept;
            });
            return join(block, rest);
        },
        /** Returns the id of the latest event that was dropped from a continuation. */
        latestRepeatedId: (): string | undefined => latestRepeatedId,
    };
};
