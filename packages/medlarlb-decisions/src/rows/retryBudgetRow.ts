/** Retry budget of one name, as a token bucket. Each new request adds a fraction of a token, and each retry spends one. */
export interface RetryBudgetRow {
    tokens: number;
}
