/** Longest delay before a retry that callers honour, as a share of the time that is left to them. */
export const MAX_RETRY_AFTER_RATIO = 1 / 3;
