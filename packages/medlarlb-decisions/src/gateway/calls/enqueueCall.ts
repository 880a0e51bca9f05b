import type { GatewayContext } from "../gatewayContext.js";
import { findModelPool } from "../pools/findModelPool.js";
import { markTargetPools } from "../pools/markTargetPools.js";
import type { CallRow } from "../rows/callRow.js";
import { scheduleCallCheck } from "./scheduleCallCheck.js";

/**
 * Adds a call to those that wait for its model. Calls for other models on the same targets are checked with it, so that the
 * most urgent one is served first.
 */
export const enqueueCall = (context: GatewayContext, row: CallRow): void => {
    const pool = findModelPool(context, row.metadata.service, row.metadata.model);
    pool.waiting.push(row);
    row.pool = pool;
    context.changedPools.add(pool);
    pool.targets.forEach(target => markTargetPools(context, target));
    scheduleCallCheck(context, row);
};
