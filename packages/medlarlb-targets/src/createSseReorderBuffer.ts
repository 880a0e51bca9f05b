import type { SseEvent } from "./sseEvent.js";

/** Number of held events at which further ones are dropped. */
const MAX_HELD_EVENT_COUNT = 1_024;

/**
 * Creates the buffer that puts the server-sent events of one answer in order. `insert` returns the events that may be
 * delivered now. An event that was delivered before is dropped; one that arrives early is held until the gap is filled.
 */
export const createSseReorderBuffer = () => {
    const held = new Map<number, SseEvent>();
    let delivered = 0;
    return {
        insert: (event: SseEvent): SseEvent[] => {
            if (event.offset > delivered && held.size < MAX_HELD_EVENT_COUNT) {
                held.set(event.offset, event);
            }
            const ready: SseEvent[] = [];
            for (let next = held.get(delivered + 1); next !== undefined; next = held.get(delivered + 1)) {
                held.delete(next.offset);
                delivered = next.offset;
                ready.push(next);
            }
            return ready;
        },
        /** Returns the offset of the last event that was delivered, or 0. */
        delivered: () => delivered,
    };
};
