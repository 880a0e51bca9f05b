import type { GatewayContext } from "../gatewayContext.js";
import type { CallRow } from "../rows/callRow.js";
import type { ModelPool } from "../rows/modelPool.js";
import { mayServe } from "./mayServe.js";

/** Returns the earliest time at which a pause of a target ends that could run a call; undefined if none is paused. */
export const pauseEndMs = (context: GatewayContext, row: CallRow, pool: ModelPool): number | undefined => {
    const ends = [...pool.targets].filter(target => context.nowMs < target.pausedUntilMs && !target.leaving && mayServe(row, target))
        .map(target => Math.max(target.pausedUntilMs, target.backoffUntilMs));
    return ends.length === 0 ? undefined : Math.min(...ends);
};
