import type { CallAttempt } from "../rows/callAttempt.js";
import type { PoolTarget } from "../rows/poolTarget.js";

/**
 * Returns the tokens of an engine's memory that this instance's requests use at most, with copies of other engines' runs and with
 * `added`. Requests that share leading prompt parts share their memory.
 */
export const heldTokens = ({ activeAttempts, memory }: PoolTarget, nowMs: number, added?: Pick<CallAttempt, "contextTokens" | "promptParts">): number => {
    const seen = new Set<string>();
    let tokens = 0;
    const add = (attempt: Pick<CallAttempt, "contextTokens" | "promptParts">): void => {
        tokens += attempt.contextTokens;
        for (const { key, tokens: partTokens } of attempt.promptParts) {
            if (seen.has(key)) {
                tokens -= partTokens;
            }
            seen.add(key);
        }
    };
    activeAttempts.forEach(add);
    for (const [callId, attempt] of memory.copies) {
        if (!activeAttempts.has(callId)) {
            add(attempt);
        }
    }
    if (added !== undefined) {
        add(added);
    }
    return memory.abandoned.reduce((sum, each) => sum + (each.untilMs > nowMs ? each.tokens : 0), tokens);
};
