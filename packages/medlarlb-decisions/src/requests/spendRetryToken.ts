import type { DecisionContext } from "../decisionContext.js";
import { maxRetryTokens } from "./maxRetryTokens.js";

/** Takes one retry out of the budget of a name. Returns false when the budget is spent. */
export const spendRetryToken = (context: DecisionContext, name: string): boolean => {
    const row = context.retryBudgets.get(name) ?? { tokens: maxRetryTokens };
    context.retryBudgets.set(name, row);
    if (row.tokens < 1) {
        return false;
    }
    row.tokens -= 1;
    return true;
};
