const LEVEL_LOADS = [0, 0.5, 1, 2, 4];

/** Returns the load that a busy level stands for. */
export const estimateLoad = (level: number, slots: number): number => Math.round((LEVEL_LOADS[level] ?? 0) * slots);
