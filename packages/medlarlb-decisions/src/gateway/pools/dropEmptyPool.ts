import type { GatewayContext } from "../gatewayContext.js";
import type { ModelPool } from "../rows/modelPool.js";

/** Deletes a pool without targets and waiting calls, so that unknown model names of callers don't accumulate. */
export const dropEmptyPool = (context: GatewayContext, pool: ModelPool): void => {
    if (pool.targets.size === 0 && pool.waiting.length === 0) {
        context.pools.delete(pool.key);
        context.changedPools.delete(pool);
    }
};
