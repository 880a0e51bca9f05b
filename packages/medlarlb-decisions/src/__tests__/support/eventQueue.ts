/** Creates a queue of events in virtual time. Events of the same time run in the order in which they were added. */
export const createEventQueue = () => {
    let events: { atMs: number; order: number; run: () => void }[] = [];
    let order = 0;
    let nowMs = 0;
    return {
        now: () => nowMs,
        at: (atMs: number, run: () => void): void => {
            order += 1;
            events.push({ atMs: Math.max(atMs, nowMs), order, run });
        },
        /** Runs everything up to a time. */
        runUntil: (untilMs: number): void => {
            for (;;) {
                let next: (typeof events)[number] | undefined;
                for (const event of events) {
                    const earlier = next === undefined || event.atMs < next.atMs || (event.atMs === next.atMs && event.order < next.order);
                    if (event.atMs <= untilMs && earlier) {
                        next = event;
                    }
                }
                if (next === undefined) {
                    break;
                }
                const chosen = next;
                events = events.filter(event => event !== chosen);
                nowMs = chosen.atMs;
                chosen.run();
            }
            nowMs = untilMs;
        },
    };
};
