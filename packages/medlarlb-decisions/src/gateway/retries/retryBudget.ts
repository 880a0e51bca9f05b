/** Requests and retries of one service within the window of the retry budget, in buckets of one second. */
export interface RetryBudget {
    buckets: { secondStartMs: number; requests: number; retries: number }[];
}
