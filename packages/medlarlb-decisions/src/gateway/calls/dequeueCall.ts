import type { GatewayContext } from "../gatewayContext.js";
import { dropEmptyPool } from "../pools/dropEmptyPool.js";
import { endRetryWait } from "../retries/endRetryWait.js";
import type { CallRow } from "../rows/callRow.js";

/** Removes a call from those that wait for its model, if it waits. */
export const dequeueCall = (context: GatewayContext, row: CallRow): void => {
    const { pool } = row;
    if (pool === undefined) {
        return;
    }
    row.pool = undefined;
    if (row.attempts > 0) {
        endRetryWait(context, row.metadata.service);
    }
    const position = pool.waiting.indexOf(row);
    if (position >= 0) {
        pool.waiting.splice(position, 1);
    }
    dropEmptyPool(context, pool);
};
