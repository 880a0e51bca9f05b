import type { createSseSplitter } from "./createSseSplitter.js";
import type { createStreamProgress } from "./createStreamProgress.js";

/** Largest number of bytes that a continued stream may repeat of what the caller has received. */
const MAX_REPEATED_BYTES = 1_048_576;

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

    return {
        /** Returns what is left of a block of a stream that a caller takes up. */
        skip: (block: Buffer): Buffer =>
            join(block, listEvents(block).filter(({ id }) => !progress.isUpTo(id, progress.lastId()))),
        /**
         * Returns what is left of a block of a stream of which the caller has received part from another target. Throws unless its events
         * follow that part without a gap.
         */
        continue: (block: Buffer): Buffer => {
            let previousId = progress.lastId();
            const rest: StreamEvent[] = [];
            for (const event of listEvents(block)) {
                const isRising = latestRepeatedId === undefined || !progress.isUpTo(event.id, latestRepeatedId);
                const isRepeated = !hasNewEvent && isRising && progress.isUpTo(event.id, previousId);
                if (isRepeated) {
                    latestRepeatedId = event.id;
                }
                else if (event.id === undefined || progress.isNext(event.id, previousId)) {
                    rest.push(event);
                    previousId = event.id ?? previousId;
                    hasNewEvent ||= event.id !== undefined;
                }
                else {
                    throw new Error(`the target that should continue the stream sent event ${event.id} after event ${previousId}`);
                }
            }
            return join(block, rest);
        },
        /** Returns the id of the latest event that was dropped from a continuation. */
        latestRepeatedId: (): string | undefined => latestRepeatedId,
    };
};
