import type { CallRow } from "../rows/callRow.js";
import type { PoolTarget } from "../rows/poolTarget.js";

/** Returns the tokens of a prompt that a target is assumed to have cached: its leading parts up to the first one missing. */
export const cachedTokens = (target: PoolTarget, { metadata, promptKeys }: CallRow): number => {
    let tokens = 0;
    for (const [index, part] of metadata.promptParts.entries()) {
        if (!target.promptCache.parts.has(promptKeys[index] ?? "")) {
            break;
        }
        tokens += part.tokens;
    }
    return Math.min(tokens, metadata.promptTokens);
};
