import { BUCKET_MS } from "./bucketMs.js";
import type { RetryBudget } from "./retryBudget.js";

/** Returns the counts of the current time, and removes those that are older than two windows, which no window needs any more. */
export const currentBucket = (budget: RetryBudget, windowMs: number, nowMs: number): RetryBudget["buckets"][number] => {
    while (budget.buckets[0] !== undefined && budget.buckets[0].startMs + BUCKET_MS < nowMs - 2 * windowMs) {
        budget.buckets.shift();
    }
    const last = budget.buckets.at(-1);
    if (last !== undefined && nowMs - last.startMs < BUCKET_MS) {
        return last;
    }
    const bucket = { startMs: nowMs, requests: 0, retries: 0 };
    budget.buckets.push(bucket);
    return bucket;
};
