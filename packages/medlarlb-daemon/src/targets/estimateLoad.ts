const LEVEL_LOAD_RATIOS = [0, 0.5, 1, 2, 4];

/** Returns the load that a busy level stands for. */
export const estimateLoad = (level: number, slots: number): number => Math.round((LEVEL_LOAD_RATIOS[level] ?? 0) * slots);
