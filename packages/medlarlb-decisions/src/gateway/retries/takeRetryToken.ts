import type { GatewayContext } from "../gatewayContext.js";
import { BUCKET_MS } from "./bucketMs.js";
import { countFixedTokens } from "./countFixedTokens.js";
import { createRetryBudget } from "./createRetryBudget.js";
import { currentBucket } from "./currentBucket.js";
import { logRetryShare } from "./logRetryShare.js";
import type { RetryBudget } from "./retryBudget.js";
import { USED_BUDGET_RATIO } from "./usedBudgetRatio.js";

/** Returns whether one more retry leaves each window that ends from now on within a ratio of the requests and a fixed number. */
const isWithinBudget = (budget: RetryBudget, windowMs: number, nowMs: number, ratio: number, fixedTokens: number): boolean => {
    const { buckets, waiting } = budget;
    let retries = waiting + 1;
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

/**
 * Takes one token from this instance's share of a service's retry budget, and returns whether one was left. In each window an
 * instance retries as often as its own requests in that window and the one before allow, on average of the two, and as it has
 * tokens of the fixed allowance. Neither part needs a message between instances: averages add up to the average over all
 * instances, which is no more than the fuller of the two windows. The retry counts as waiting until `endRetryWait`.
 */
export const takeRetryToken = (context: GatewayContext, service: string): boolean => {
    const { retryRatio, retryWindowMs } = context.settings;
    const budget = context.retryBudgets.get(service) ?? createRetryBudget();
    context.retryBudgets.set(service, budget);
    currentBucket(budget, retryWindowMs, context.nowMs);
    logRetryShare(context);
    if (!isWithinBudget(budget, retryWindowMs, context.nowMs, retryRatio * USED_BUDGET_RATIO / 2, countFixedTokens(context))) {
        return false;
    }
    budget.waiting += 1;
    return true;
};
