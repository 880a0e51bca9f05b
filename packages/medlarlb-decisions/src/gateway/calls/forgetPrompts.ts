import type { PoolTarget } from "../rows/poolTarget.js";

/** Removes the cached prompt parts of a model that a target no longer holds. */
export const forgetPrompts = (target: PoolTarget, model: string): void => {
    for (const [key, tokens] of target.promptCache.parts) {
        if (key.startsWith(`${model}/`)) {
            target.promptCache.parts.delete(key);
            target.promptCache.tokens -= tokens;
        }
    }
};
