import type { PoolTarget } from "../rows/poolTarget.js";

/** Counts the prompt tokens of this instance's requests that a target has still to read. */
export const unreadTokens = (target: PoolTarget): number => {
    let tokens = 0;
    for (const attempt of target.activeAttempts.values()) {
        tokens += attempt.answerStartedAtMs === undefined ? attempt.uncachedTokens : 0;
    }
    return tokens;
};
