/** Load from which each level above 0 starts, as a ratio of the target's slots. */
const LEVEL_MIN_RATIOS = [0.5, 1, 2, 4];

/** Returns the load of a target as one of a few levels, so that small changes of load aren't published to other zones. */
export const quantizeLoad = (load: number, slots: number): number => LEVEL_MIN_RATIOS.filter(ratio => load >= ratio * slots).length;
