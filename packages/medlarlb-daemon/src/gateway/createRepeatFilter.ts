import type { createSseSplitter } from "./createSseSplitter.js";

/** Largest number of bytes that a continued stream may repeat of what the caller has received. */
const MAX_REPEATED_BYTES = 1_048_576;

/**
 * Creates the filter of a continued stream, which drops the events up to the last delivered one. Event ids rise, and a run that
 * resumed from an earlier point repeats some of them.
 */
export const createRepeatFilter = (listEvents: ReturnType<typeof createSseSplitter>["list"]) => {
    let repeatedBytes = 0;
    let latestRepeatedId: string | undefined;
    return {
        /** Returns what is left of a block without the events up to the last delivered one. */
        skip: (block: Buffer, lastDeliveredId: string | undefined): Buffer => {
            const isRepeated = (id: string | undefined): boolean =>
                id !== undefined && lastDeliveredId !== undefined && Number(id) <= Number(lastDeliveredId);
            const events = listEvents(block);
            latestRepeatedId = events.filter(event => isRepeated(event.id)).at(-1)?.id ?? latestRepeatedId;
            const rest = Buffer.concat(events.filter(event => !isRepeated(event.id)).map(event => event.bytes));
            repeatedBytes += block.length - rest.length;
            if (repeatedBytes > MAX_REPEATED_BYTES) {
                throw new Error(`the stream repeats more than ${MAX_REPEATED_BYTES} bytes that the caller has received`);
            }
            return rest;
        },
        /** Returns the id of the latest event that was dropped. */
        latestRepeatedId: (): string | undefined => latestRepeatedId,
    };
};
