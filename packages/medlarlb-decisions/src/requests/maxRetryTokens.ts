/** Retries that the budget of a name holds at most, and starts with. */
export const maxRetryTokens = 10;
