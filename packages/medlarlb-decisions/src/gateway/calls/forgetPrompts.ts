import type { PoolTarget } from "../rows/poolTarget.js";

/** Forgets what a target kept of the prompts of a model that it no longer holds. */
export const forgetPrompts = (target: PoolTarget, model: string): void => {
    for (const [key, tokens] of target.promptCache.parts) {
        if (key.startsWith(`${model}/`)) {
            target.promptCache.parts.delete(key);
            target.promptCache.tokens -= tokens;
        }
    }
};
