import { isUsable } from "../calls/isUsable.js";
import { servicePaceMs } from "../calls/servicePaceMs.js";
import type { GatewayContext } from "../gatewayContext.js";
import type { ModelPool } from "../rows/modelPool.js";

const MS_PER_SECOND = 1_000;
/**
 * Requests at a target, as a multiple of its places, that the shares of all instances add up to. More than one keeps the places used
 * although requests arrive at random; as many as the room of a target (two) would leave none for more urgent ones.
 */
const SHARED_RATIO = 1.5;
const ALONE_RATIO = 2;

/**
 * Returns the requests per second of all instances with which the targets of a plain service keep a certain number of requests.
 * The time of an answer includes the wait at its target, so that the rate falls while too much waits there.
 */
export const targetsPerSecond = (context: GatewayContext, pool: ModelPool): { shared: number; alone: number } => {
    let perSecond = 0;
    for (const target of pool.targets) {
        perSecond += isUsable(target, context.nowMs) ? target.entry.slots * MS_PER_SECOND / Math.max(1, servicePaceMs(context, target)) : 0;
    }
    return { shared: perSecond * SHARED_RATIO, alone: perSecond * ALONE_RATIO };
};
