/**
 * Times in ms by which shares of a quota are divided. An instance uses its share up to `contactMs` after contact with the store's
 * list. One whose address is new to the list waits for `settleMs`, until all others know of it or have no share any more. One that
 * is gone from the list counts for `memoryMs`, as long as it may still use its share, or may register again and go on with it
 * because the store has lost its entry. `settleMs` and `memoryMs` exceed `contactMs` because a suspended machine's clock stops.
 */
export const shareTimesMs = { contactMs: 13_000, settleMs: 14_500, memoryMs: 30_000 };
