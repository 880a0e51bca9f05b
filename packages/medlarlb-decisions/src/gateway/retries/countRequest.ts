import type { RetryBudget } from "./retryBudget.js";
import { currentBucket } from "./currentBucket.js";

/** Counts a caller's request, or its work, which adds to what the service's budget allows. */
export const countRequest = (budget: RetryBudget, windowMs: number, nowMs: number, amount = 1): void => {
    currentBucket(budget, windowMs, nowMs).requests += amount;
};
