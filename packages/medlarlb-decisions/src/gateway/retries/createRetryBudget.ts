import type { RetryBudget } from "./retryBudget.js";

/** Creates the budget of a service without requests. */
export const createRetryBudget = (): RetryBudget => ({ buckets: [], waiting: 0 });
