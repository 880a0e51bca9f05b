import { countInFlight } from "../calls/countInFlight.js";
import type { GatewayContext } from "../gatewayContext.js";
import type { ModelPool } from "../rows/modelPool.js";
import { isLargeGroup } from "../status/isLargeGroup.js";

/** Time in ms without a report after which a member counts as cut off: several status intervals. */
const SILENT_AFTER_MS = 600;
/** Age in ms from which the load of another instance no longer counts, as in `countInFlight`. */
const MAX_LOAD_AGE_MS = 1_500;

/**
 * Returns the requests at the targets of a plain service that the targets tell of and no instance, while members of a small group
 * are silent: those of instances that are cut off from this one. Otherwise the difference is only due to the age of the reports.
 */
export const unreportedRequests = (context: GatewayContext, pool: ModelPool): number => {
    const { fairness, members, nowMs } = context;
    const isSilent = ({ id }: typeof members[number]): boolean => nowMs - (fairness.heardAtMs.get(id) ?? 0) > SILENT_AFTER_MS;
    if (isLargeGroup(context) || !members.some(isSilent)) {
        return 0;
    }
    let unreported = 0;
    for (const target of pool.targets) {
        const fresh = [...target.peerLoads.values()].filter(load => nowMs - load.atMs < MAX_LOAD_AGE_MS);
        const others = fresh.reduce((sum, load) => sum + load.running, 0);
        unreported += countInFlight(target, nowMs) - target.activeAttempts.size - others;
    }
    return unreported;
};
