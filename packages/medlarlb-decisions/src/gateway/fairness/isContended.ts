import type { GatewayContext } from "../gatewayContext.js";

/** Time in ms for which a service or model counts as contended after a request that found it so. */
const CONTENDED_FOR_MS = 1_000;

/** Returns whether the demand for the targets of a pool was lately close to what they take. */
export const isContended = ({ fairness, nowMs }: GatewayContext, poolKey: string): boolean =>
    nowMs - (fairness.contendedAtMs.get(poolKey) ?? Number.NEGATIVE_INFINITY) <= CONTENDED_FOR_MS;
