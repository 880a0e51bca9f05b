import type { GatewayContext } from "../gatewayContext.js";
import { currentBucket } from "./currentBucket.js";

/** Counts a retry that waited from now on, because it is sent or given up. */
export const endRetryWait = (context: GatewayContext, service: string): void => {
    const budget = context.retryBudgets.get(service);
    // A call whose connection never opened waits again without a token.
    if (budget !== undefined && budget.waiting > 0) {
        budget.waiting -= 1;
        currentBucket(budget, context.settings.retryWindowMs, context.nowMs).retries += 1;
    }
};
