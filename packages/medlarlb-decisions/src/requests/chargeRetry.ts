import type { DecisionContext } from "../decisionContext.js";
import { fullRetryBucket } from "./fullRetryBucket.js";

/** Takes one retry out of the budget of a name. Returns false when the budget is spent. */
export const chargeRetry = (context: DecisionContext, name: string): boolean => {
    const row = context.retries.get(name) ?? { tokens: fullRetryBucket };
    context.retries.set(name, row);
    if (row.tokens < 1) {
        return false;
    }
    row.tokens -= 1;
    return true;
};
