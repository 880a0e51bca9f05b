import type { GatewayContext } from "../gatewayContext.js";

/** Has all waiting calls checked, because the load on many targets has changed. */
export const markAllPools = (context: GatewayContext): void => {
    for (const pool of context.pools.values()) {
        if (pool.waiting.length > 0) {
            context.changedPools.add(pool);
        }
    }
};
