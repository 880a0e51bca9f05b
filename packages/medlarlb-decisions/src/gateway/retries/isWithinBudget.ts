import { BUCKET_MS } from "./bucketMs.js";
import type { RetryBudget } from "./retryBudget.js";

/**
 * Returns whether one more retry, or a larger amount, leaves each window that ends from now on within a ratio of the requests and
 * a fixed number.
 */
export const isWithinBudget = (
    { buckets, waiting }: RetryBudget,
    windowMs: number,
    nowMs: number,
    ratio: number,
    fixedTokens: number,
    amount = 1,
): boolean => {
    let retries = waiting + amount;
    let requests = 0;
    let counted = buckets.length;
    for (let index = buckets.length - 1; index >= 0; index -= 1) {
        const bucket = buckets[index];
        if (bucket === undefined || bucket.startMs + BUCKET_MS <= nowMs - windowMs) {
            return true;
        }
        retries += bucket.retries;
        // Windows that begin within this bucket: the requests of the window before them count from its beginning.
        const requestsSinceMs = bucket.startMs + BUCKET_MS - windowMs;
        for (let next = buckets[counted - 1]; next !== undefined && next.startMs >= requestsSinceMs; next = buckets[counted - 1]) {
            requests += next.requests;
            counted -= 1;
        }
        if (retries > ratio * requests + fixedTokens) {
            return false;
        }
    }
    return true;
};
