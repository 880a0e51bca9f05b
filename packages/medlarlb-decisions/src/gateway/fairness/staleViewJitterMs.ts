import type { GatewayContext } from "../gatewayContext.js";
import type { PoolTarget } from "../rows/poolTarget.js";
import { isLargeGroup } from "../status/isLargeGroup.js";
import { isContended } from "./isContended.js";

/**
 * Largest random cost in ms of a target that only other instances use: somewhat more than the age of what they report, so that the
 * correction of a difference between targets takes longer than until it is seen.
 */
const JITTER_MS = 60;
/** The same in a large group, where reports pass two hubs. */
const LARGE_GROUP_JITTER_MS = 1_000;

/**
 * Returns the largest random cost, in ms, of a target of a contended plain service whose load comes from other instances. What they
 * report is older than a request lasts. Without the cost, all of them would send to the target that had the least load then.
 */
export const staleViewJitterMs = (context: GatewayContext, poolKey: string, target: PoolTarget): number => {
    if (target.models.size > 0 || !isContended(context, poolKey)) {
        return 0;
    }
    const own = target.activeAttempts.size;
    const others = [...target.peerLoads.values()].reduce((sum, each) => sum + each.running, 0);
    return others === 0 ? 0 : (isLargeGroup(context) ? LARGE_GROUP_JITTER_MS : JITTER_MS) * (others / (own + others)) ** 2;
};
