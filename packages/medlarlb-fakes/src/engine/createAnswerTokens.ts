const MAX_TOKENS = 64;

/** Derives the answer of a prompt: every word of it, marked with the item, so that a mixed-up answer is seen. */
export const createAnswerTokens = (itemId: string, prompt: string): string[] =>
    [`[${itemId}]`, ...prompt.split(/\s+/).slice(0, MAX_TOKENS)].map((word, index) => (index === 0 ? word : ` ${word}`));
