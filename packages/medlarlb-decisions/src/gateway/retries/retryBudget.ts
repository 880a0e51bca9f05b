/** Sliding window over the requests and retries of one service. Each bucket holds the counts of one second. */
export interface RetryBudget {
    buckets: { secondStartMs: number; requests: number; retries: number }[];
}
