/** Number of ended targets from which a request counts as their cause even if another one had been on all of them, too. */
export const CERTAIN_END_COUNT = 3;
