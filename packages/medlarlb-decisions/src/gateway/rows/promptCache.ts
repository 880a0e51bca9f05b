/** Prompt parts that a target is believed to keep, by model, adapter and position, the least recently used first. */
export interface PromptCache {
    parts: Map<string, number>;
    tokens: number;
}
