/** Prompt parts that a target is assumed to have cached. */
export interface PromptCache {
    /** Tokens of each part by model, adapter and position, the least recently used first. */
    parts: Map<string, number>;
    tokens: number;
}
