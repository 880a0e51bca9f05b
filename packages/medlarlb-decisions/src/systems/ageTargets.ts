import { markSilent } from "../inputs/markSilent.js";
import type { DecisionContext } from "../decisionContext.js";

/** Marks targets as silent whose last report is too old. */
export const ageTargets = (world: DecisionContext): void => {
    for (const target of world.targets.values()) {
        if (!target.silent && world.nowMs - target.reportedAtMs > world.cfg.targetSilentMs) {
            markSilent(world, target.targetId, "no report came in time");
        }
    }
};
