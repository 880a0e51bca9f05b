import type { GatewayContext } from "../gatewayContext.js";
import type { PoolTarget } from "../rows/poolTarget.js";
import { recordCompletion } from "./recordCompletion.js";

/** Records the requests of a target as completed that it had answered before it got a request that it has begun to answer. */
export const proveCompletions = (context: GatewayContext, target: PoolTarget, sentAtMs: number): void => {
    if (target.unprovedCompletions.length > 0) {
        const proved = target.unprovedCompletions.filter(each => each.atMs < sentAtMs);
        target.unprovedCompletions = target.unprovedCompletions.filter(each => each.atMs >= sentAtMs);
        proved.forEach(each => recordCompletion(context, each.keys));
    }
};
