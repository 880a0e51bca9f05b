import type { SseEvent } from "./sseEvent.js";

const MAX_HELD_EVENT_COUNT = 1_024;

/**
 * Creates the function that puts the frames of one answer in order. It returns the frames that may be delivered now.
 * A frame that was delivered before is dropped; one that comes early is held until the gap is filled.
 */
export const createSseReorderBuffer = () => {
    const held = new Map<number, SseEvent>();
    let lastDelivered = 0;
    return {
        insert: (event: SseEvent): SseEvent[] => {
            if (event.offset > lastDelivered && held.size < MAX_HELD_EVENT_COUNT) {
                held.set(event.offset, event);
            }
            const ready: SseEvent[] = [];
            for (let next = held.get(lastDelivered + 1); next !== undefined; next = held.get(lastDelivered + 1)) {
                held.delete(next.offset);
                lastDelivered = next.offset;
                ready.push(next);
            }
            return ready;
        },
        /** Offset of the last frame that was delivered. */
        delivered: () => lastDelivered,
    };
};
