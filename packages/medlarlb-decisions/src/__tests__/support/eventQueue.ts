interface QueuedEvent {
    atMs: number;
    run: () => void;
}

/** Creates a queue of events in virtual time. Events of the same time run in the order in which they were added. */
export const createEventQueue = () => {
    /** Events sorted by time, the latest first, so that the next event is removed from the end. */
    const events: QueuedEvent[] = [];
    let nowMs = 0;

    const findInsertIndex = (atMs: number): number => {
        let low = 0;
        let high = events.length;
        while (low < high) {
            const middle = (low + high) >> 1;
            if ((events[middle] as QueuedEvent).atMs > atMs) {
                low = middle + 1;
            }
            else {
                high = middle;
            }
        }
        return low;
    };

    return {
        now: () => nowMs,
        at: (atMs: number, run: () => void): void => {
            const dueMs = Math.max(atMs, nowMs);
            events.splice(findInsertIndex(dueMs), 0, { atMs: dueMs, run });
        },
        /** Runs all events up to the given time, and sets the clock to it. */
        runUntil: (untilMs: number): void => {
            for (let next = events.at(-1); next !== undefined && next.atMs <= untilMs; next = events.at(-1)) {
                events.pop();
                nowMs = next.atMs;
                next.run();
            }
            nowMs = untilMs;
        },
    };
};
