import type { PoolTarget } from "../rows/poolTarget.js";

/** Returns the prompt tokens of this instance's requests that a target has yet to process. */
export const pendingPromptTokens = (target: PoolTarget): number => {
    let tokens = 0;
    for (const attempt of target.activeAttempts.values()) {
        tokens += attempt.answerStartedAtMs === undefined ? attempt.uncachedTokens : 0;
    }
    return tokens;
};
