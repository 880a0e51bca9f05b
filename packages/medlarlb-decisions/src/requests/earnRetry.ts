import type { World } from "../world.js";

const FULL_BUCKET = 10;

/** Fills the retry budget of a name by its share for one new request. */
export const earnRetry = (world: World, name: string): void => {
    const row = world.retries.get(name);
    if (row !== undefined) {
        row.tokens = Math.min(FULL_BUCKET, row.tokens + world.cfg.retryShare);
    }
};
