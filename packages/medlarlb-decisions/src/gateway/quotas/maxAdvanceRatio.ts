/** Part of a quota's storage that a hub asks another one for at most without a request that needs more. */
export const MAX_ADVANCE_RATIO = 0.5;
