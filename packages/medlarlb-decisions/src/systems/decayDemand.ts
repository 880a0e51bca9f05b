import type { World } from "../world.js";

const FAST_PERIOD_MS = 8_000;
const SLOW_PERIOD_MS = 300_000;
const FORGET_RATE = 0.001; // requests a second

/** Lets the demand averages decay over the time that has passed. */
export const decayDemand = (world: World): void => {
    for (const row of [...world.demand.values()]) {
        const elapsedMs = world.nowMs - row.updatedAtMs;
        row.fastRate *= Math.exp(-elapsedMs / FAST_PERIOD_MS);
        row.unmetRate *= Math.exp(-elapsedMs / FAST_PERIOD_MS);
        row.slowRate *= Math.exp(-elapsedMs / SLOW_PERIOD_MS);
        row.updatedAtMs = world.nowMs;
        if (row.fastRate + row.slowRate < FORGET_RATE) {
            world.demand.delete(row.itemId);
        }
    }
};
