import TinyQueue from "tinyqueue";

interface Event {
    atMs: number;
    sequence: number;
    run: () => void;
}

/** Creates a clock of virtual time, which runs what is planned for a time in the order in which it was planned. */
export const createVirtualClock = () => {
    const queue = new TinyQueue<Event>([], (one, other) => one.atMs - other.atMs || one.sequence - other.sequence);
    let nowMs = 0;
    let sequence = 0;
    const at = (atMs: number, run: () => void): void => {
        sequence += 1;
        queue.push({ atMs, sequence, run });
    };
    return {
        now: (): number => nowMs,
        at,
        after: (delayMs: number, run: () => void): void => at(nowMs + delayMs, run),
        /** Advances the virtual time by a number of ms. */
        run: (ms: number): void => {
            const endMs = nowMs + ms;
            for (let next = queue.peek(); next !== undefined && next.atMs <= endMs; next = queue.peek()) {
                queue.pop();
                nowMs = Math.max(nowMs, next.atMs);
                next.run();
            }
            nowMs = endMs;
        },
    };
};
