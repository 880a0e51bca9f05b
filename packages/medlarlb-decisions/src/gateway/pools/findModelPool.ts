import type { GatewayContext } from "../gatewayContext.js";
import type { ModelPool } from "../rows/modelPool.js";

/** Returns the pool of a model, or the one of all targets of a service if no model is named. A missing pool is created. */
export const findModelPool = (context: GatewayContext, service: string, model: string | undefined): ModelPool => {
    const key = `${service}/${model ?? ""}`;
    let pool = context.pools.get(key);
    if (pool === undefined) {
        pool = { key, service, model, targets: new Set(), waiting: [], nextCheckAtMs: Number.POSITIVE_INFINITY };
        context.pools.set(key, pool);
    }
    return pool;
};
