import type { DecisionContext } from "../decisionContext.js";
import { maxRetryTokens } from "./maxRetryTokens.js";

/** Spends one token of the retry budget of a name. Returns false if less than one token is left. */
export const spendRetryToken = (context: DecisionContext, name: string): boolean => {
    const row = context.retryBudgets.get(name) ?? { tokens: maxRetryTokens };
    context.retryBudgets.set(name, row);
    if (row.tokens < 1) {
        return false;
    }
    row.tokens -= 1;
    return true;
};
