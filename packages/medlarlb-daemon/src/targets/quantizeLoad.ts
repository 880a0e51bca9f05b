/** Steps of load, in shares of a target's slots, that other zones are told of. */
const LEVEL_THRESHOLD_RATIOS = [0.5, 1, 2, 4];

/** Returns how busy a target is, in a few steps, so that small changes of load aren't spread over zones. */
export const quantizeLoad = (load: number, slots: number): number => LEVEL_THRESHOLD_RATIOS.filter(ratio => load >= ratio * slots).length;
