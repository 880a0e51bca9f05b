import type { CallRow } from "../rows/callRow.js";
import type { PoolTarget } from "../rows/poolTarget.js";

/** Share of a target's memory that cached prompt parts are assumed to use beside running requests. */
const PROMPT_CACHE_RATIO = 0.6;
/** Cached prompt parts that are remembered of a target. It bounds the memory for parts that callers state without tokens. */
const MAX_PARTS = 4_096;

/** Records that a target caches the parts of a prompt, and removes the least recently used beyond its memory. */
export const rememberPrompt = (target: PoolTarget, { metadata, promptKeys }: CallRow, contextTokens: number): void => {
    const { promptCache } = target;
    for (const [index, part] of metadata.promptParts.entries()) {
        const key = promptKeys[index] ?? "";
        const formerTokens = promptCache.parts.get(key);
        // Deleting the key first keeps the map in order of last use.
        promptCache.parts.delete(key);
        promptCache.parts.set(key, part.tokens);
        promptCache.tokens += part.tokens - (formerTokens ?? 0);
    }
    for (const [oldest, tokens] of promptCache.parts) {
        if (promptCache.tokens <= contextTokens * PROMPT_CACHE_RATIO && promptCache.parts.size <= MAX_PARTS) {
            break;
        }
        promptCache.parts.delete(oldest);
        promptCache.tokens -= tokens;
    }
};
