import type { StreamFrame } from "./streamFrame.js";

const MAX_HELD_FRAMES = 1_024;

/**
 * Creates the function that puts the frames of one answer in order. It returns the frames that may be delivered now.
 * A frame that was delivered before is dropped; one that comes early is held until the gap is filled.
 */
export const createFrameOrder = () => {
    const held = new Map<number, StreamFrame>();
    let delivered = 0;
    return {
        take: (frame: StreamFrame): StreamFrame[] => {
            if (frame.offset > delivered && held.size < MAX_HELD_FRAMES) {
                held.set(frame.offset, frame);
            }
            const ready: StreamFrame[] = [];
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
