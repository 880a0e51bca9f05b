import { logEvent } from "../calls/logEvent.js";
import type { GatewayContext } from "../gatewayContext.js";
import { markTargetPools } from "../pools/markTargetPools.js";
import type { PoolTarget } from "../rows/poolTarget.js";

/** Takes a target that says itself that it leaves out for new requests, whatever the list says. Returns whether it was news. */
export const setLeaving = (context: GatewayContext, target: PoolTarget, source: string): boolean => {
    if (target.saidLeaving) {
        return false;
    }
    target.saidLeaving = true;
    target.leaving = true;
    markTargetPools(context, target);
    logEvent(context, "targetState", { target: target.entry.targetId, leaving: true, source });
    return true;
};
