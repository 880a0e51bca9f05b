import type { DecisionContext } from "../decisionContext.js";
import { maxRetryTokens } from "./maxRetryTokens.js";

/** Fills the retry budget of a name by its share for one new request. */
export const earnRetry = (context: DecisionContext, name: string): void => {
    const row = context.retryBudgets.get(name);
    if (row !== undefined) {
        row.tokens = Math.min(maxRetryTokens, row.tokens + context.cfg.retryShare);
    }
};
