/** Part of its latency target for which a call may be held before it is refused, and the part of that after which it is decided. */
const MAX_HELD_RATIO = 1 / 8;
const DECIDED_RATIO = 3 / 4;

/** Returns the time in ms for which a call with a latency target may be held until it is decided whether it is served. */
export const maxHeldMs = (latencyTargetMs: number): number => latencyTargetMs * MAX_HELD_RATIO * DECIDED_RATIO;
