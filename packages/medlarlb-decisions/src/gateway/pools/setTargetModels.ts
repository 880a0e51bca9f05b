import { forgetPrompts } from "../calls/forgetPrompts.js";
import type { GatewayContext } from "../gatewayContext.js";
import type { PoolTarget } from "../rows/poolTarget.js";
import { dropEmptyPool } from "./dropEmptyPool.js";
import { findModelPool } from "./findModelPool.js";
import { markTargetPools } from "./markTargetPools.js";

/** Sets the models that a target holds, moves it to their pools, and forgets the cached prompts of models that it no longer holds. */
export const setTargetModels = (context: GatewayContext, target: PoolTarget, models: PoolTarget["models"]): void => {
    for (const name of target.models.keys()) {
        if (!models.has(name)) {
            forgetPrompts(target, name);
        }
    }
    target.models = models;
    const { service } = target.entry;
    const pools = new Set([undefined, ...models.keys()].map(model => findModelPool(context, service, model)));
    for (const pool of target.pools) {
        if (!pools.has(pool)) {
            pool.targets.delete(target);
            dropEmptyPool(context, pool);
        }
    }
    target.pools = pools;
    pools.forEach(pool => pool.targets.add(target));
    markTargetPools(context, target);
};
