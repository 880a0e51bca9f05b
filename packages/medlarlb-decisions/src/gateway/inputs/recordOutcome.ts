import type { GatewayContext } from "../gatewayContext.js";
import type { PoolTarget } from "../rows/poolTarget.js";

/** Weight of the newest attempt in the share of failures of its target, and of its service. */
const NEWEST_SHARE = 0.1;
const NEWEST_SERVICE_SHARE = 0.03;

/** Notes whether an attempt on a target failed, for the choice of targets. */
export const recordOutcome = (context: GatewayContext, target: PoolTarget, failed: boolean): void => {
    const outcome = failed ? 1 : 0;
    target.failureRate += NEWEST_SHARE * (outcome - target.failureRate);
    target.failureRateAtMs = context.nowMs;
    const { service } = target.entry;
    const shared = context.serviceFailureRate.get(service) ?? 0;
    context.serviceFailureRate.set(service, shared + NEWEST_SERVICE_SHARE * (outcome - shared));
};
