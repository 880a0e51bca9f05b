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

/** Returns how many requests of all instances a target of a plain service may have for another one to be sent. */
export const maxRequestsAt = (context: GatewayContext, row: CallRow, target: PoolTarget): number => {
    const turn = context.fairness.turns.get(row);
    if (turn === undefined) {
        return target.entry.slots * MAX_RATIO;
    }
    // In a large group reports of others are too old to tell how full a target is.
    const isUncertain = isLargeGroup(context) && target.activeAttempts.size < countInFlight(target, context.nowMs) / 2;
    return target.entry.slots * (turn.isFirst || isUncertain ? MAX_FIRST_RATIO : MAX_SHARED_RATIO);
};
