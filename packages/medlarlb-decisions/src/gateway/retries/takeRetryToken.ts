import type { GatewayContext } from "../gatewayContext.js";
import { currentBucket } from "./currentBucket.js";

/** Part of the common allowance that is used; the rest covers instances that come and go. */
const USED_ALLOWANCE_RATIO = 0.7;

/**
 * Takes one retry from this instance's share of a service's budget. Each instance earns retries by its own requests
 * and owns an equal part of the fixed allowance, so that the shares add up without any message.
 */
export const takeRetryToken = (context: GatewayContext, service: string): boolean => {
    const { retryRatio, retryWindowMs, retryExtra } = context.settings;
    const budget = context.retryBudgets.get(service) ?? { buckets: [] };
    context.retryBudgets.set(service, budget);
    const bucket = currentBucket(budget, retryWindowMs, context.nowMs);
    const requests = budget.buckets.reduce((sum, each) => sum + each.requests, 0);
    const retries = budget.buckets.reduce((sum, each) => sum + each.retries, 0);
    const allowed = retryRatio * USED_ALLOWANCE_RATIO * requests + retryExtra * USED_ALLOWANCE_RATIO / Math.max(1, context.instanceCount);
    if (retries + 1 > allowed) {
        return false;
    }
    bucket.retries += 1;
    return true;
};
