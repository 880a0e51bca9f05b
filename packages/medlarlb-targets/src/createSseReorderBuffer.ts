import type { SseEvent } from "./sseEvent.js";

const MAX_HELD_FRAMES = 1_024;

/**
 * Creates the function that puts the frames of one answer in order. It returns the frames that may be delivered now.
 * A frame that was delivered before is dropped; one that comes early is held until the gap is filled.
 */
export const createSseReorderBuffer = () => {
    const held = new Map<number, SseEvent>();
    let delivered = 0;
    return {
        insert: (frame: SseEvent): SseEvent[] => {
            if (frame.offset > delivered && held.size < MAX_HELD_FRAMES) {
                held.set(frame.offset, frame);
            }
            const ready: SseEvent[] = [];
            for (let next = held.get(delivered + 1); next !== undefined; next = held.get(delivered + 1)) {
                held.delete(next.offset);
                delivered = next.offset;
                ready.push(next);
            }
            return ready;
        },
        /** Offset of the last frame that was delivered. */
        delivered: () => delivered,
    };
};
