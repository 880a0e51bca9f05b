import type { DecisionContext } from "../decisionContext.js";
import { fullRetryBucket } from "./fullRetryBucket.js";

/** Fills the retry budget of a name by its share for one new request. */
export const earnRetry = (context: DecisionContext, name: string): void => {
    const row = context.retries.get(name);
    if (row !== undefined) {
        row.tokens = Math.min(fullRetryBucket, row.tokens + context.cfg.retryShare);
    }
};
