import type { CallMetadata } from "medlarlb-types/callMetadata";
import type { PoolTarget } from "../rows/poolTarget.js";

/** Returns the tokens of a prompt that a target is assumed to have cached: its leading parts up to the first one missing. */
export const cachedTokens = (target: PoolTarget, metadata: CallMetadata): number => {
    let key = `${metadata.model}/${metadata.adapter ?? ""}`;
    let tokens = 0;
    for (const part of metadata.promptParts) {
        key = `${key}/${part.id}`;
        if (!target.promptCache.parts.has(key)) {
            break;
        }
        tokens += part.tokens;
    }
    return Math.min(tokens, metadata.promptTokens);
};
