import { countInFlight } from "../calls/countInFlight.js";
import { hasRequestedModel } from "../calls/hasRequestedModel.js";
import { isUsable } from "../calls/isUsable.js";
import { isZoneUnreachable } from "../calls/isZoneUnreachable.js";
import { mayServe } from "../calls/mayServe.js";
import { predictLatency } from "../calls/predictLatency.js";
import type { GatewayContext } from "../gatewayContext.js";
import type { CallRow } from "../rows/callRow.js";
import type { PoolTarget } from "../rows/poolTarget.js";

interface HedgeTarget {
    target: PoolTarget;
    prediction: ReturnType<typeof predictLatency>;
}

/** Share of a target's places in use from which it gets no second attempts. */
const MAX_OCCUPANCY_RATIO = 0.5;
/** Failure rate from which a target gets none: its answers may be slow or wrong for the same reason as the first. */
const MAX_FAILURE_RATE = 0.2;

/**
 * Returns whether a target may get a second attempt: it holds what the request needs, names no limit, isn't nearly full, and
 * answers. A target from which nothing has come since the first attempt was sent may have the same fault, such as a cut link.
 */
const isCandidate = (context: GatewayContext, row: CallRow, target: PoolTarget): boolean => {
    const { currentAttempt, metadata } = row;
    return target.entry.targetId !== currentAttempt?.targetId
        && isUsable(target, context.nowMs)
        && mayServe(row, target)
        && hasRequestedModel(target, metadata, true)
        && target.requestLimit === undefined
        && target.consecutiveNoResponse === 0
        && target.failureRate < MAX_FAILURE_RATE
        && countInFlight(target, context.nowMs) < target.entry.slots * MAX_OCCUPANCY_RATIO
        && !isZoneUnreachable(context, target.entry.zone);
};

/** Chooses the target of a call's second attempt, the one with the earliest predicted answer; one of the own zone is preferred. */
export const chooseHedgeTarget = (context: GatewayContext, row: CallRow): HedgeTarget | undefined => {
    let best: HedgeTarget | undefined;
    let bestIsNear = false;
    for (const target of context.targetsByService.get(row.metadata.service) ?? []) {
        if (!isCandidate(context, row, target)) {
            continue;
        }
        const prediction = predictLatency(context, target, row);
        const isNear = target.entry.zone === context.settings.zone;
        const isBetter = best === undefined || (isNear === bestIsNear ? prediction.answerMs < best.prediction.answerMs : isNear);
        if (isBetter) {
            best = { target, prediction };
            bestIsNear = isNear;
        }
    }
    return best;
};
