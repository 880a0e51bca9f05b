import type { TargetId } from "medlarlb-types/targetId";
import { dropOldest } from "../crashes/dropOldest.js";
import { incarnationKey } from "../crashes/incarnationKey.js";
import type { GatewayContext } from "../gatewayContext.js";

/** Number of leaving processes that are kept, some days of replacements in a large deployment. */
const MAX_LEAVING_TARGETS = 4_096;

/** Records that a target's process leaves, for longer than its entry lasts. Returns whether it was news. */
export const recordLeaving = (context: GatewayContext, targetId: TargetId, startedAtMs: number): boolean => {
    const key = incarnationKey(targetId, startedAtMs);
    const isNews = !context.leavingTargets.has(key);
    context.leavingTargets.add(key);
    dropOldest(context.leavingTargets, MAX_LEAVING_TARGETS);
    return isNews;
};
