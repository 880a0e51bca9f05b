import type { GatewayContext } from "../gatewayContext.js";
import { markTargetPools } from "../pools/markTargetPools.js";
import type { PoolTarget } from "../rows/poolTarget.js";

/** Time in ms for which a permit holds. A longer time would let more permits be used at the same time. */
const PERMIT_VALID_MS = 300;

/** Adds a permit to send one request to a limited target. */
export const addPermit = (context: GatewayContext, target: PoolTarget): void => {
    target.permits.push(context.nowMs + PERMIT_VALID_MS);
    markTargetPools(context, target);
};
