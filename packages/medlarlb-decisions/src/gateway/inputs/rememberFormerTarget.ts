import { dropOldest } from "../crashes/dropOldest.js";
import type { GatewayContext } from "../gatewayContext.js";
import type { PoolTarget } from "../rows/poolTarget.js";

/** Number of former targets that are kept, some days of replacements in a large deployment. */
const MAX_FORMER_TARGETS = 1_024;

/** Keeps the row of a target whose entry is gone. */
export const rememberFormerTarget = (context: GatewayContext, target: PoolTarget): void => {
    const { targetId } = target.entry;
    context.formerTargets.delete(targetId);
    context.formerTargets.set(targetId, target);
    dropOldest(context.formerTargets, MAX_FORMER_TARGETS);
};
