import { countInFlight } from "../calls/countInFlight.js";
import type { GatewayContext } from "../gatewayContext.js";
import type { CallRow } from "../rows/callRow.js";
import type { PoolTarget } from "../rows/poolTarget.js";
import { isLargeGroup } from "../status/isLargeGroup.js";

/** Requests at a plain target up to which more are sent, as a multiple of its places. */
const MAX_RATIO = 2;
/**
 * The same for requests with a share of the targets. The shares limit the mean, and a peak has passed when others see it. Requests
 * that no others go before find room at a target that has as many of the others as it gets.
 */
const MAX_SHARED_RATIO = 2.7;
const MAX_FIRST_RATIO = 3;

/** Returns whether a target of a plain service has room for a call, and this instance for another one at its targets. */
export const hasPlainCapacity = (context: GatewayContext, row: CallRow, target: PoolTarget): boolean => {
    const { nowMs, fairness, targetsByService } = context;
    const turn = fairness.turns.get(row);
    const inFlight = countInFlight(target, nowMs);
    if (turn === undefined) {
        return inFlight < target.entry.slots * MAX_RATIO;
    }
    // In a large group reports of others are too old to tell how full a target is.
    const isUncertain = isLargeGroup(context) && target.activeAttempts.size < inFlight / 2;
    const ownRequests = (targetsByService.get(target.entry.service) ?? []).reduce((sum, each) => sum + each.activeAttempts.size, 0);
    return inFlight < target.entry.slots * (turn.isFirst || isUncertain ? MAX_FIRST_RATIO : MAX_SHARED_RATIO)
        && ownRequests < turn.maxOwnRequests;
};
