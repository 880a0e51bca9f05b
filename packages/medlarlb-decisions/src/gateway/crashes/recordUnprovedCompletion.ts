import type { GatewayContext } from "../gatewayContext.js";
import type { CallRow } from "../rows/callRow.js";
import type { PoolTarget } from "../rows/poolTarget.js";

/** Number of completed requests without proof that are kept of a target. */
const MAX_UNPROVED = 128;

/** Records a request whose answer ended with its connection. The next answer shows whether its target still runs. */
export const recordUnprovedCompletion = (context: GatewayContext, target: PoolTarget, row: CallRow): void => {
    target.unprovedCompletions.push({ keys: row.crashKeys, atMs: context.nowMs });
    if (target.unprovedCompletions.length > MAX_UNPROVED) {
        target.unprovedCompletions.shift();
    }
};
