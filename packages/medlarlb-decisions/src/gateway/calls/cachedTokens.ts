import type { CallMetadata } from "medlarlb-types/callMetadata";
import type { PoolTarget } from "../rows/poolTarget.js";

/** Counts the tokens of a prompt that a target is believed to keep: those of the leading parts that it keeps all. */
export const cachedTokens = (target: PoolTarget, facts: CallMetadata): number => {
    let key = `${facts.model}/${facts.adapter ?? ""}`;
    let tokens = 0;
    for (const part of facts.promptParts) {
        key = `${key}/${part.id}`;
        if (!target.cache.parts.has(key)) {
            break;
        }
        tokens += part.tokens;
    }
    return Math.min(tokens, facts.promptTokens);
};
