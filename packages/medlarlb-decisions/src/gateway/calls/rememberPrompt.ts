import type { CallMetadata } from "medlarlb-types/callMetadata";
import type { PoolTarget } from "../rows/poolTarget.js";

/** Share of a target's memory that kept parts are believed to have beside running requests. */
const KEPT_SHARE = 0.6;

/** Notes that a target keeps the parts of a prompt, and forgets the least recently used beyond its memory. */
export const rememberPrompt = (target: PoolTarget, metadata: CallMetadata, contextTokens: number): void => {
    const { promptCache: cache } = target;
    let key = `${metadata.model}/${metadata.adapter ?? ""}`;
    for (const part of metadata.promptParts) {
        key = `${key}/${part.id}`;
        const known = cache.parts.get(key);
        // Deleting first keeps the map in order of last use.
        cache.parts.delete(key);
        cache.parts.set(key, part.tokens);
        cache.tokens += known === undefined ? part.tokens : 0;
    }
    for (const [oldest, tokens] of cache.parts) {
        if (cache.tokens <= contextTokens * KEPT_SHARE) {
            break;
        }
        cache.parts.delete(oldest);
        cache.tokens -= tokens;
    }
};
