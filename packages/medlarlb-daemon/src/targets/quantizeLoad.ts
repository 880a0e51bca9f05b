/** Steps of load, in shares of a target's slots, that other zones receive. */
const LEVEL_SHARES = [0.5, 1, 2, 4];

/** Returns the load of a target as one of a few levels, so that small changes of load aren't published to other zones. */
export const quantizeLoad = (load: number, slots: number): number => LEVEL_SHARES.filter(share => load >= share * slots).length;
