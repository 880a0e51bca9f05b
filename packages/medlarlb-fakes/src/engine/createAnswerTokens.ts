const MAX_TOKENS = 64;

/**
 * Returns the answer tokens for a prompt: the item id in brackets, then the first words of the prompt. They show a
 * test whether an answer belongs to its request and comes from the right item.
 */
export const createAnswerTokens = (itemId: string, prompt: string): string[] =>
    [`[${itemId}]`, ...prompt.split(/\s+/).slice(0, MAX_TOKENS)].map((word, index) => (index === 0 ? word : ` ${word}`));
