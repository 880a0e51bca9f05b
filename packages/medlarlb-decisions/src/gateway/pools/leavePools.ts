import type { GatewayContext } from "../gatewayContext.js";
import type { PoolTarget } from "../rows/poolTarget.js";
import { dropEmptyPool } from "./dropEmptyPool.js";
import { markTargetPools } from "./markTargetPools.js";

/** Removes a target that no longer exists from the pools of its models. */
export const leavePools = (context: GatewayContext, target: PoolTarget): void => {
    markTargetPools(context, target);
    context.limitedTargets.delete(target);
    for (const pool of target.pools) {
        pool.targets.delete(target);
        dropEmptyPool(context, pool);
    }
    target.pools = new Set();
};
