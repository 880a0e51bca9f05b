import type { GatewayContext } from "../gatewayContext.js";
import type { CallRow } from "../rows/callRow.js";
import type { ModelPool } from "../rows/modelPool.js";
import { hasRequestedModel } from "./hasRequestedModel.js";

/** Returns the earliest time at which a pause of a target ends that could run a call; undefined if none is paused. */
export const pauseEndMs = (context: GatewayContext, row: CallRow, pool: ModelPool): number | undefined => {
    const ends = [...pool.targets].filter(target => context.nowMs < target.pausedUntilMs && !target.leaving
        && !row.excludedTargets.has(target.entry.targetId) && hasRequestedModel(target, row.metadata, false))
        .map(target => Math.max(target.pausedUntilMs, target.backoffUntilMs));
    return ends.length === 0 ? undefined : Math.min(...ends);
};
