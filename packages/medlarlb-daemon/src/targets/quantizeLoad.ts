/** Thresholds of the load levels that are published to other zones, as ratios of a target's slots. */
const LEVEL_THRESHOLD_RATIOS = [0.5, 1, 2, 4];

/** Returns the load of a target as one of a few levels, so that small changes of load aren't published to other zones. */
export const quantizeLoad = (load: number, slots: number): number => LEVEL_THRESHOLD_RATIOS.filter(ratio => load >= ratio * slots).length;
