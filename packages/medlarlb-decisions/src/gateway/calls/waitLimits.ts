/**
 * Bounds of the longest predicted wait on an engine for which a call is sent, in ms. What waits at the engine can't be
 * refused truthfully any more, so that its queue is kept only as full as its batch needs: with the most, the next prompt
 * is there when the one before is read. With the least, prompts come one by one.
 */
export const waitLimits = { mostMs: 150, leastMs: 10 } as const;
