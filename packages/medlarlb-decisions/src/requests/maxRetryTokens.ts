/** Largest number of retry tokens that the budget of a name holds. The budget also starts with it. */
export const maxRetryTokens = 10;
