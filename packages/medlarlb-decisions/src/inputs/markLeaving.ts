import type { TargetId } from "medlarlb-types/targetId";
import { recordDecision } from "../recordDecision.js";
import type { DecisionContext } from "../decisionContext.js";

/** Marks a target as leaving, so that it gets no new work. One source is enough. */
export const markLeaving = (context: DecisionContext, targetId: TargetId, source: string): void => {
    const row = context.targets.get(targetId);
    if (row === undefined || row.leaving) {
        return;
    }
    row.leaving = true;
    row.lastDecision = recordDecision(context, "drain", targetId, `the target is leaving (source: ${source}); it gets no new work`, {
        target: targetId,
        inputs: { source },
    });
    context.commands.push({ kind: "shareLeaving", targetId });
};
