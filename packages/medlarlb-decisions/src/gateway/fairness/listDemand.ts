import type { GatewayContext } from "../gatewayContext.js";
import type { ModelPool } from "../rows/modelPool.js";
import { decayedAmount } from "./decayedAmount.js";
import { fairnessPeriodsMs } from "./fairnessPeriodsMs.js";
import { sumReports } from "./sumReports.js";

/** Reported arrivals are those in 10 s. */
const REPORTED_PERIOD_MS = 10_000;

/**
 * Returns the requests to a plain service that would be at its targets at a time if all were served, by rank, of this instance and
 * of the others. Each takes `paceMs`. For a model, whose arrivals are counted in ms, `paceMs` is 1.
 */
export const listDemand = (context: GatewayContext, pool: ModelPool, paceMs: number): Map<number, { own: number; others: number }> => {
    const demands = new Map<number, { own: number; others: number }>();
    for (const [rank,,, arrivals] of sumReports(context, pool.key, context.settings.instanceId)) {
        demands.set(rank, { own: 0, others: arrivals * paceMs / REPORTED_PERIOD_MS });
    }
    for (const [rank, sum] of context.fairness.arrivals.get(pool.key) ?? []) {
        const own = decayedAmount(sum, fairnessPeriodsMs.arrivals, context.nowMs) * paceMs / fairnessPeriodsMs.arrivals;
        demands.set(rank, { own, others: demands.get(rank)?.others ?? 0 });
    }
    return demands;
};
