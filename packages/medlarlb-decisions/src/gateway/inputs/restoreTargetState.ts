import type { GatewayContext } from "../gatewayContext.js";
import { setTargetLimit } from "../limits/setTargetLimit.js";
import type { PoolTarget } from "../rows/poolTarget.js";

/**
 * Carries over to the new row of a target what its process has told or shown before its entry was gone for a while: requests
 * that it wants or doesn't want, and its failures.
 */
export const restoreTargetState = (context: GatewayContext, target: PoolTarget, former: PoolTarget): void => {
    if (former.requestLimit !== undefined) {
        setTargetLimit(context, target, former.requestLimit, "before its entry was gone");
    }
    const { limitBucket, permits, permitRequestedAtMs, permitCompetitors, permitRequesters } = former;
    const { pausedUntilMs, backoffUntilMs, consecutiveNoResponse, failureRate, failureRateAtMs } = former;
    const { cutRequests, abandonedRequests, unprovedCompletions, probedAtMs } = former;
    Object.assign(target, {
        limitBucket,
        permits,
        permitRequestedAtMs,
        permitCompetitors,
        permitRequesters,
        pausedUntilMs,
        backoffUntilMs,
        consecutiveNoResponse,
        failureRate,
        failureRateAtMs,
        cutRequests,
        abandonedRequests,
        unprovedCompletions,
        probedAtMs,
    } satisfies Partial<PoolTarget>);
};
