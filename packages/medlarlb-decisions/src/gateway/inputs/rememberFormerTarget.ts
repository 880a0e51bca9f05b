import { dropOldest } from "../crashes/dropOldest.js";
import type { GatewayContext } from "../gatewayContext.js";
import type { PoolTarget } from "../rows/poolTarget.js";

/** Number of former targets that are kept, some days of replacements in a large deployment. */
const MAX_FORMER_TARGETS = 1_024;

/** Keeps what still holds of a target whose entry is gone. Its prompt cache and its load, which take most memory, don't. */
export const rememberFormerTarget = (context: GatewayContext, target: PoolTarget): void => {
    const { entry, requestLimit, limitBucket, permits, permitRequestedAtMs, permitCompetitors, permitRequesters } = target;
    const { pausedUntilMs, backoffUntilMs, consecutiveNoResponse, failureRate, failureRateAtMs } = target;
    const { cutRequests, abandonedRequests, unprovedCompletions, probedAtMs } = target;
    const { targetId } = entry;
    context.formerTargets.delete(targetId);
    context.formerTargets.set(targetId, {
        entry,
        requestLimit,
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
    });
    dropOldest(context.formerTargets, MAX_FORMER_TARGETS);
};
