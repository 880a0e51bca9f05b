import type { DecisionContext } from "../decisionContext.js";
import { maxRetryTokens } from "./maxRetryTokens.js";

/** Adds the retry share of one new request to the retry budget of a name, up to the maximum number of tokens. */
export const refillRetryBudget = (context: DecisionContext, name: string): void => {
    const row = context.retryBudgets.get(name);
    if (row !== undefined) {
        row.tokens = Math.min(maxRetryTokens, row.tokens + context.cfg.retryShare);
    }
};
