import { servicePaceMs } from "../calls/servicePaceMs.js";
import type { GatewayContext } from "../gatewayContext.js";
import type { PoolTarget } from "../rows/poolTarget.js";
import { listRankedServices } from "./listRankedServices.js";

/** Largest random cost of a target that only others use, as a multiple of the time that it takes for a request. */
const JITTER_RATIO = 1;

/**
 * Returns the largest random cost, in ms, of a target of a plain service whose load comes from other instances. What they report is
 * older than a request lasts. Without the cost, all of them would send to the target that had the least load then.
 */
export const staleViewJitterMs = (context: GatewayContext, target: PoolTarget): number => {
    if (target.models.size > 0 || !listRankedServices(context).has(target.entry.service)) {
        return 0;
    }
    const own = target.activeAttempts.size;
    const others = [...target.peerLoads.values()].reduce((sum, each) => sum + each.running, 0);
    return others === 0 ? 0 : JITTER_RATIO * servicePaceMs(context, target) * others / (own + others);
};
