import type { DecisionContext } from "../decisionContext.js";
import { fullRetryBucket } from "./fullRetryBucket.js";

/** Takes one retry out of the budget of a name. Returns false when the budget is spent. */
export const chargeRetry = (world: DecisionContext, name: string): boolean => {
    const row = world.retries.get(name) ?? { tokens: fullRetryBucket };
    world.retries.set(name, row);
    if (row.tokens < 1) {
        return false;
    }
    row.tokens -= 1;
    return true;
};
