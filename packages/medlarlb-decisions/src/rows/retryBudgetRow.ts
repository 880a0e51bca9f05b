/** Retry budget of one name, as a token bucket that each request fills a little. */
export interface RetryBudgetRow {
    tokens: number;
}
