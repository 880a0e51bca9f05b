import type { GatewayContext } from "../gatewayContext.js";
import type { PoolTarget } from "../rows/poolTarget.js";
import { countAtTarget } from "./countAtTarget.js";
import { expectedWorkTimeRatio } from "./expectedWorkTimeRatio.js";

/** Share of the time left until a request's latency target up to which its predicted answer counts as in time. */
const IN_TIME_RATIO = 0.7;
/** Weights of the present and of the average use of a target's places. The average evens out what stale counts leave. */
const OCCUPANCY_WEIGHT = 0.5;
const MEAN_OCCUPANCY_WEIGHT = 0.3;

/**
 * Returns the cost in ms by which targets of a plain service are compared if they report their duration of work. Lasting differences
 * in speed don't count as long as the answer is in time: each target gets its share of the requests, so that none of them is full
 * while others have free places. A machine that is slower than usual costs more for as long as it is. `waiting` is the number of
 * requests that wait here: if all of them waited for the fastest machine, slower ones would be idle meanwhile.
 */
export const serviceCostMs = (context: GatewayContext, target: PoolTarget, answerMs: number, leftMs: number, waiting: number): number => {
    const { slots, service } = target.entry;
    const averageMs = context.serviceMsPerWorkUnit.get(service) ?? target.msPerWorkUnit;
    const inFlight = countAtTarget(target, context.nowMs);
    const waitRatio = inFlight < slots ? 0 : (inFlight + waiting - slots) / slots;
    const occupancy = OCCUPANCY_WEIGHT * (inFlight + 1) / slots + MEAN_OCCUPANCY_WEIGHT * (target.workTime?.meanOccupancy ?? 0);
    const lateMs = Math.max(0, answerMs - leftMs * IN_TIME_RATIO);
    return averageMs * (expectedWorkTimeRatio(target, context.nowMs) * (1 + waitRatio) + occupancy) + lateMs;
};
