import type { createSseSplitter } from "./createSseSplitter.js";

/**
 * Creates the filter of a continued stream, which drops the events up to the last delivered one. Event ids rise, and a run that
 * resumed from an earlier point repeats some of them.
 */
export const createRepeatFilter = (listEvents: ReturnType<typeof createSseSplitter>["list"]) =>
    (block: Buffer, lastDeliveredId: string | undefined): Buffer => {
        const isRepeated = (id: string | undefined): boolean =>
            id !== undefined && lastDeliveredId !== undefined && Number(id) <= Number(lastDeliveredId);
        return Buffer.concat(listEvents(block).filter(event => !isRepeated(event.id)).map(event => event.bytes));
    };
