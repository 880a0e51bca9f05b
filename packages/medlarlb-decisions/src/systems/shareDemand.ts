import type { DemandCount } from "medlarlb-types/demandCount";
import { applyDemand } from "../inputs/applyDemand.js";
import type { DecisionContext } from "../decisionContext.js";

const SHARE_MS = 1_000;

/** Counts the demand of this instance for the planner of its zone, once a second. */
export const shareDemand = (world: DecisionContext): void => {
    if (world.nowMs < world.nextShareMs) {
        return;
    }
    world.nextShareMs = world.nowMs + SHARE_MS;
    const counts: DemandCount[] = [...world.arrivals].map(([itemId, arrivals]) => ({
        itemId,
        arrivals,
        unmet: world.unmet.get(itemId) ?? 0,
    }));
    world.arrivals.clear();
    world.unmet.clear();
    if (counts.length > 0) {
        applyDemand(world, counts);
        world.commands.push({ kind: "shareDemand", counts });
    }
};
