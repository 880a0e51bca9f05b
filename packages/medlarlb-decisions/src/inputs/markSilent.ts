import type { TargetId } from "medlarlb-types/targetId";
import { recordDecision } from "../recordDecision.js";
import type { DecisionContext } from "../decisionContext.js";

/** Marks a target as silent, so that requests go elsewhere until it reports again. */
export const markSilent = (world: DecisionContext, targetId: TargetId, reason: string): void => {
    const row = world.targets.get(targetId);
    if (row === undefined || row.silent) {
        return;
    }
    row.silent = true;
    row.silentSinceMs = world.nowMs;
    row.lastDecision = recordDecision(world, "targetSilent", targetId, reason, { target: targetId });
};
