import type { CallRow } from "../rows/callRow.js";

/** First-event time-out of an attempt, as a share of the total time of a repeatable request. */
const FIRST_EVENT_TIMEOUT_RATIO = 0.4;
/** Minimum first-event time-out of an attempt, in ms. */
const MIN_FIRST_EVENT_TIMEOUT_MS = 250;
/** First-event time-out of an attempt, as a multiple of the predicted time. */
const PREDICTION_FACTOR = 3;

/**
 * Returns the time at which the current attempt of a call is abandoned for another one unless its answer has started; infinity
 * for a call that can't be repeated, or has a second attempt.
 */
export const firstEventTimeoutAtMs = ({ currentAttempt: attempt, hedge, metadata, possibleRuns }: CallRow): number => {
    const isRepeatable = metadata.route.kind === "safe" || metadata.route.resumable;
    if (
        attempt === undefined || attempt.answerStartedAtMs !== undefined || hedge !== undefined
        || !isRepeatable || possibleRuns + 1 >= metadata.route.maxAttempts
    ) {
        return Number.POSITIVE_INFINITY;
    }
    return attempt.sentAtMs + Math.max(
        MIN_FIRST_EVENT_TIMEOUT_MS,
        FIRST_EVENT_TIMEOUT_RATIO * (metadata.deadlineAtMs - metadata.arrivedAtMs),
        attempt.predictedMs * PREDICTION_FACTOR,
    );
};
