import type { GatewayContext } from "../gatewayContext.js";
import type { PoolTarget } from "../rows/poolTarget.js";

/** Half-life, in ms, of the difference between the pace of a plain-service target and that of its service. */
const PACE_HALF_LIFE_MS = 3_000;

/**
 * Returns the time that a target of a plain service takes for a request, in ms. A target that seemed slow gets no requests
 * that could show otherwise, so that its pace approaches that of the service over time.
 */
export const servicePaceMs = (context: GatewayContext, target: PoolTarget): number => {
    const averageMs = context.serviceMsPerWorkUnit.get(target.entry.service) ?? target.msPerWorkUnit;
    return averageMs + (target.msPerWorkUnit - averageMs) * 0.5 ** ((context.nowMs - target.msPerWorkUnitAtMs) / PACE_HALF_LIFE_MS);
};
