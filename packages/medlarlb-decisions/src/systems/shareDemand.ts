import type { DemandCount } from "medlarlb-types/demandCount";
import { applyDemand } from "../inputs/applyDemand.js";
import type { DecisionContext } from "../decisionContext.js";

const SHARE_INTERVAL_MS = 1_000;

/** Adds the demand that this instance counted to its averages and shares it with the planner of its zone, once a second. */
export const shareDemand = (context: DecisionContext): void => {
    if (context.nowMs < context.nextDemandShareMs) {
        return;
    }
    context.nextDemandShareMs = context.nowMs + SHARE_INTERVAL_MS;
    const counts: DemandCount[] = [...context.arrivals].map(([itemId, arrivals]) => ({
        itemId,
        arrivals,
        unmet: context.unmet.get(itemId) ?? 0,
    }));
    context.arrivals.clear();
    context.unmet.clear();
    if (counts.length > 0) {
        applyDemand(context, counts);
        context.commands.push({ kind: "shareDemand", counts });
    }
};
