import type { GatewayContext } from "../gatewayContext.js";
import type { PoolTarget } from "../rows/poolTarget.js";

/** Time in ms after which half of what sets a target of a plain service apart from the others is forgotten. */
const PACE_HALF_LIFE_MS = 3_000;

/**
 * Time that a target of a plain service takes for a request, in ms. A target that seemed slow gets no requests that could
 * show the contrary, so that its pace comes near to that of the service in time.
 */
export const servicePaceMs = (context: GatewayContext, target: PoolTarget): number => {
    const averageMs = context.serviceMsPerWorkUnit.get(target.entry.service) ?? target.msPerWorkUnit;
    return averageMs + (target.msPerWorkUnit - averageMs) * 0.5 ** ((context.nowMs - target.msPerWorkUnitAtMs) / PACE_HALF_LIFE_MS);
};
