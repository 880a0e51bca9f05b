/**
 * Requests and retries of one service at this instance, or its work and extra work. Each bucket holds the counts of a short
 * time, the oldest first.
 */
export interface RetryBudget {
    buckets: { startMs: number; requests: number; retries: number }[];
    /** Retries that are allowed and wait for a target. They count in every window until they are sent. */
    waiting: number;
}
