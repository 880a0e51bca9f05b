import type { GatewayContext } from "../gatewayContext.js";
import type { PoolTarget } from "../rows/poolTarget.js";

/** Has the calls checked that wait for a target, because its load or state has changed. */
export const markTargetPools = (context: GatewayContext, target: PoolTarget): void => {
    for (const pool of target.pools) {
        if (pool.waiting.length > 0) {
            context.changedPools.add(pool);
        }
    }
};
