import type { World } from "../world.js";

const FULL_BUCKET = 10;

/** Takes one retry out of the budget of a name. Returns false when the budget is spent. */
export const chargeRetry = (world: World, name: string): boolean => {
    const row = world.retries.get(name) ?? { tokens: FULL_BUCKET };
    world.retries.set(name, row);
    if (row.tokens < 1) {
        return false;
    }
    row.tokens -= 1;
    return true;
};
