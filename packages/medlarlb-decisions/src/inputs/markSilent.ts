import type { TargetId } from "medlarlb-types/targetId";
import { recordDecision } from "../recordDecision.js";
import type { DecisionContext } from "../decisionContext.js";

/** Marks a target as silent, so that it gets no requests until it reports again. */
export const markSilent = (context: DecisionContext, targetId: TargetId, reason: string): void => {
    const row = context.targets.get(targetId);
    if (row === undefined || row.silent) {
        return;
    }
    row.silent = true;
    row.silentSinceMs = context.nowMs;
    row.lastDecision = recordDecision(context, "targetSilent", targetId, reason, { target: targetId });
};
