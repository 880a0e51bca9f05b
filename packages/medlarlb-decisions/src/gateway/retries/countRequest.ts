import type { RetryBudget } from "./retryBudget.js";
import { currentBucket } from "./currentBucket.js";

/** Counts a caller's request, from which the service's retries are earned. */
export const countRequest = (budget: RetryBudget, windowMs: number, nowMs: number): void => {
    currentBucket(budget, windowMs, nowMs).requests += 1;
};
