import type { GatewayContext } from "../gatewayContext.js";
import type { ModelPool } from "../rows/modelPool.js";
import { decayedAmount } from "./decayedAmount.js";
import { fairnessPeriodsMs } from "./fairnessPeriodsMs.js";
import { sumReports } from "./sumReports.js";

const MS_PER_SECOND = 1_000;
/** Reported arrivals are those in 10 s. */
const REPORTED_PERIOD_S = 10;

/** Returns the requests per second to a plain service at this instance and at the others, by rank. */
export const listDemand = (context: GatewayContext, pool: ModelPool): Map<number, { own: number; others: number }> => {
    const demands = new Map<number, { own: number; others: number }>();
    for (const [rank,,, arrivals] of sumReports(context, pool.key, context.settings.instanceId)) {
        demands.set(rank, { own: 0, others: arrivals / REPORTED_PERIOD_S });
    }
    for (const [rank, sum] of context.fairness.arrivals.get(pool.key) ?? []) {
        const own = decayedAmount(sum, fairnessPeriodsMs.arrivals, context.nowMs) * MS_PER_SECOND / fairnessPeriodsMs.arrivals;
        demands.set(rank, { own, others: demands.get(rank)?.others ?? 0 });
    }
    return demands;
};
