import type { GatewayContext } from "../gatewayContext.js";
import { currentBucket } from "./currentBucket.js";

/** Share of the retry budget that is used. The rest is a reserve for instances that start and stop. */
const USED_BUDGET_RATIO = 0.7;

/**
 * Takes one token from this instance's share of a service's retry budget, and returns whether one was left. A token is a
 * retry that the counts of the sliding window still allow. An instance's share consists of a ratio of its own requests and
 * an equal part of the fixed allowance, so that the shares add up to the budget without any message between instances.
 */
export const takeRetryToken = (context: GatewayContext, service: string): boolean => {
    const { retryRatio, retryWindowMs, retryExtra } = context.settings;
    const budget = context.retryBudgets.get(service) ?? { buckets: [] };
    context.retryBudgets.set(service, budget);
    const bucket = currentBucket(budget, retryWindowMs, context.nowMs);
    const requests = budget.buckets.reduce((sum, each) => sum + each.requests, 0);
    const retries = budget.buckets.reduce((sum, each) => sum + each.retries, 0);
    const allowed = retryRatio * USED_BUDGET_RATIO * requests + retryExtra * USED_BUDGET_RATIO / Math.max(1, context.instanceCount);
    if (retries + 1 > allowed) {
        return false;
    }
    bucket.retries += 1;
    return true;
};
