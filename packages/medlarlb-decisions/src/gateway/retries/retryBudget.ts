/** Requests and retries of one service in the last seconds, in buckets of one second. */
export interface RetryBudget {
    buckets: { secondStartMs: number; requests: number; retries: number }[];
}
