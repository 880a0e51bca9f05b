import { logEvent } from "../calls/logEvent.js";
import type { GatewayContext } from "../gatewayContext.js";
import { markTargetPools } from "../pools/markTargetPools.js";
import type { PoolTarget } from "../rows/poolTarget.js";

/** Sets the limit of a target. Returns whether it has changed. */
export const setTargetLimit = (context: GatewayContext, target: PoolTarget, perSecond: number | undefined, source: string): boolean => {
    if (target.requestLimit === perSecond) {
        return false;
    }
    logEvent(context, "targetLimit", { target: target.entry.targetId, perSecond, before: target.requestLimit, source });
    if (target.requestLimit === undefined) {
        // Nothing has been saved up: the requests before the limit count against it.
        target.limitBucket = { tokens: 0, atMs: context.nowMs };
    }
    target.requestLimit = perSecond;
    if (perSecond === undefined) {
        context.limitedTargets.delete(target);
        target.permits = [];
    }
    else {
        context.limitedTargets.add(target);
    }
    markTargetPools(context, target);
    return true;
};
