import type { GatewayContext } from "../gatewayContext.js";
import type { PoolTarget } from "../rows/poolTarget.js";

/** Returns whether this instance may send a request to a target now, as far as the target's limit is concerned. */
export const hasPermit = (context: GatewayContext, target: PoolTarget): boolean => {
    if (target.requestLimit === undefined) {
        return true;
    }
    target.permits = target.permits.filter(validUntilMs => context.nowMs < validUntilMs);
    return target.permits.length > 0;
};
