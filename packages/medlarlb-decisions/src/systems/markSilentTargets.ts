import { markSilent } from "../inputs/markSilent.js";
import type { DecisionContext } from "../decisionContext.js";

/** Marks targets as silent if their last report is older than `targetSilentMs`. */
export const markSilentTargets = (context: DecisionContext): void => {
    for (const target of context.targets.values()) {
        if (!target.silent && context.nowMs - target.reportedAtMs > context.cfg.targetSilentMs) {
            markSilent(context, target.targetId, "no report came in time");
        }
    }
};
