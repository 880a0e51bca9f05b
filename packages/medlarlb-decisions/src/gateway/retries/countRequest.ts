import type { RetryBudget } from "./retryBudget.js";
import { currentBucket } from "./currentBucket.js";

/** Counts a caller's request, which adds to the retries that the service's budget allows. */
export const countRequest = (budget: RetryBudget, windowMs: number, nowMs: number): void => {
    currentBucket(budget, windowMs, nowMs).requests += 1;
};
