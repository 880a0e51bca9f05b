import type { GatewayContext } from "../gatewayContext.js";
import type { PoolTarget } from "../rows/poolTarget.js";
import { refillBucket } from "./refillBucket.js";

/** Takes one request of a limited target from the bucket that this instance keeps of it, and returns whether one was left. */
export const takeLimitToken = (context: GatewayContext, target: PoolTarget, perSecond: number, capacity: number): boolean => {
    refillBucket(target.limitBucket, perSecond, capacity, context.nowMs);
    if (target.limitBucket.tokens < 1) {
        return false;
    }
    target.limitBucket.tokens -= 1;
    return true;
};
