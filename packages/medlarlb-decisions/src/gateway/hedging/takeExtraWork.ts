import type { GatewayContext } from "../gatewayContext.js";
import { createRetryBudget } from "../retries/createRetryBudget.js";
import { currentBucket } from "../retries/currentBucket.js";
import { isWithinBudget } from "../retries/isWithinBudget.js";
import type { CallMetadata } from "medlarlb-types/callMetadata";
import { workUnits } from "./workUnits.js";

/**
 * Takes a request's work from this instance's share of the extra work that its service may have, and returns whether that was
 * left. As for the shares of the retry budget, the shares of all instances add up to the limit without a message: each may use a
 * ratio of the mean of its own work in a window and the one before.
 */
export const takeExtraWork = (context: GatewayContext, metadata: CallMetadata): boolean => {
    const { extraWorkRatio, retryWindowMs } = context.settings;
    const budget = context.extraWorkBudgets.get(metadata.service) ?? createRetryBudget();
    context.extraWorkBudgets.set(metadata.service, budget);
    const bucket = currentBucket(budget, retryWindowMs, context.nowMs);
    const work = workUnits(metadata);
    if (!isWithinBudget(budget, retryWindowMs, context.nowMs, extraWorkRatio / 2, 0, work)) {
        return false;
    }
    bucket.retries += work;
    return true;
};
