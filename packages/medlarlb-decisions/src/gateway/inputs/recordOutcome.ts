import type { GatewayContext } from "../gatewayContext.js";
import type { PoolTarget } from "../rows/poolTarget.js";

/** Weight of a new attempt in the failure rate of its target, and in that of its service. */
const TARGET_OUTCOME_WEIGHT = 0.1;
const SERVICE_OUTCOME_WEIGHT = 0.03;

/** Records whether an attempt on a target failed, for the choice of targets. */
export const recordOutcome = (context: GatewayContext, target: PoolTarget, failed: boolean): void => {
    const outcome = failed ? 1 : 0;
    target.failureRate += TARGET_OUTCOME_WEIGHT * (outcome - target.failureRate);
    target.failureRateAtMs = context.nowMs;
    const { service } = target.entry;
    const serviceRate = context.serviceFailureRate.get(service) ?? 0;
    context.serviceFailureRate.set(service, serviceRate + SERVICE_OUTCOME_WEIGHT * (outcome - serviceRate));
};
