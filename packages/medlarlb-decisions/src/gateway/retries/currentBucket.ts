import type { RetryBudget } from "./retryBudget.js";

const BUCKET_MS = 1_000;

/** Returns the counts of the current second, and removes those of seconds that have left the window. */
export const currentBucket = (budget: RetryBudget, windowMs: number, nowMs: number): RetryBudget["buckets"][number] => {
    while (budget.buckets[0] !== undefined && budget.buckets[0].secondStartMs + BUCKET_MS < nowMs - windowMs) {
        budget.buckets.shift();
    }
    const last = budget.buckets.at(-1);
    if (last !== undefined && nowMs - last.secondStartMs < BUCKET_MS) {
        return last;
    }
    const bucket = { secondStartMs: nowMs, requests: 0, retries: 0 };
    budget.buckets.push(bucket);
    return bucket;
};
