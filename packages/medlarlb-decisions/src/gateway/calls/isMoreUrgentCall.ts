import type { CallRow } from "../rows/callRow.js";

/**
 * Returns whether a waiting call is served before another. Calls that can still be answered in time go before those that
 * are already too late: under overload, serving the oldest first would make every answer just too late. Then the lower
 * priority number goes first, then the earlier latency target. `answerDelayMs` returns the time from sending a call to
 * its answer.
 */
export const isMoreUrgentCall = (one: CallRow, other: CallRow, nowMs: number, answerDelayMs: (row: CallRow) => number): boolean => {
    const isOneLate = nowMs + answerDelayMs(one) > one.metadata.latencyTargetAtMs;
    const isOtherLate = nowMs + answerDelayMs(other) > other.metadata.latencyTargetAtMs;
    if (isOneLate !== isOtherLate) {
        return isOtherLate;
    }
    if (one.metadata.route.priority !== other.metadata.route.priority) {
        return one.metadata.route.priority < other.metadata.route.priority;
    }
    return one.metadata.latencyTargetAtMs < other.metadata.latencyTargetAtMs;
};
