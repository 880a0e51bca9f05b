import type { GatewayContext } from "../gatewayContext.js";
import { countFixedTokens } from "./countFixedTokens.js";
import { createRetryBudget } from "./createRetryBudget.js";
import { currentBucket } from "./currentBucket.js";
import { isWithinBudget } from "./isWithinBudget.js";
import { logRetryShare } from "./logRetryShare.js";
import { USED_BUDGET_RATIO } from "./usedBudgetRatio.js";

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
