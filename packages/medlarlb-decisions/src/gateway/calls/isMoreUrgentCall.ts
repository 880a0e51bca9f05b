import type { CallRow } from "../rows/callRow.js";

/**
 * Orders waiting calls. Those that can still be answered in time go before those that are late already; then the lower
 * priority number goes first, then the earlier target time.
 */
export const isMoreUrgentCall = (one: CallRow, other: CallRow, nowMs: number): boolean => {
    const oneLate = nowMs > one.facts.targetAtMs;
    const otherLate = nowMs > other.facts.targetAtMs;
    if (oneLate !== otherLate) {
        return otherLate;
    }
    if (one.facts.route.priority !== other.facts.route.priority) {
        return one.facts.route.priority < other.facts.route.priority;
    }
    return one.facts.targetAtMs < other.facts.targetAtMs;
};
