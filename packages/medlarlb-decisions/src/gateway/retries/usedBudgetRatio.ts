/** Share of the retry budget that is used. The rest is a reserve for retries that reach their targets later than they were allowed. */
export const USED_BUDGET_RATIO = 0.7;
