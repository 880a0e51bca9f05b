import type { CallRow } from "../rows/callRow.js";

/**
 * Orders waiting calls. Those that would still be answered in time go before those that are too late already: under
 * overload, serving the oldest first would make every answer just too late. Then the lower priority number goes first,
 * then the earlier target time. `leadMs` is the time that an answer takes once a call is sent.
 */
export const isMoreUrgentCall = (one: CallRow, other: CallRow, nowMs: number, leadMs: (row: CallRow) => number): boolean => {
    const oneLate = nowMs + leadMs(one) > one.metadata.latencyTargetAtMs;
    const otherLate = nowMs + leadMs(other) > other.metadata.latencyTargetAtMs;
    if (oneLate !== otherLate) {
        return otherLate;
    }
    if (one.metadata.route.priority !== other.metadata.route.priority) {
        return one.metadata.route.priority < other.metadata.route.priority;
    }
    return one.metadata.latencyTargetAtMs < other.metadata.latencyTargetAtMs;
};
