/** Estimated load of each level, as a ratio of the target's slots. */
const LEVEL_LOAD_RATIOS = [0, 0.5, 1, 2, 4];

/** Estimates the load of a target from the level that `quantizeLoad` returned. */
export const estimateLoad = (level: number, slots: number): number => Math.round((LEVEL_LOAD_RATIOS[level] ?? 0) * slots);
