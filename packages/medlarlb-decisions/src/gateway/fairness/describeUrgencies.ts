import type { InstanceStatus } from "medlarlb-types/instanceStatus";
import type { Urgency } from "medlarlb-types/urgency";
import type { GatewayContext } from "../gatewayContext.js";
import type { ModelPool } from "../rows/modelPool.js";
import { addUrgencies } from "./addUrgencies.js";
import { callRank } from "./callRank.js";
import { decayedAmount } from "./decayedAmount.js";
import { fairnessPeriodsMs } from "./fairnessPeriodsMs.js";
import { isContended } from "./isContended.js";
import { listRankedServices } from "./listRankedServices.js";

/** Time in ms over which arrivals are reported, so that a whole number tells a few requests a second well enough. */
const REPORTED_PERIOD_MS = 10_000;

const listUrgencies = (context: GatewayContext, pool: ModelPool): Urgency[] => {
    const waiting = pool.waiting.map(({ metadata }): Urgency => [callRank(context, metadata), 1, metadata.promptTokens, 0]);
    const arrivals = context.fairness.arrivals.get(pool.key) ?? new Map();
    const rates = [...arrivals].map(([rank, sum]): Urgency => {
        const requests = decayedAmount(sum, fairnessPeriodsMs.arrivals, context.nowMs);
        return [rank, 0, 0, Math.round(requests * REPORTED_PERIOD_MS / fairnessPeriodsMs.arrivals)];
    });
    rates.filter(([,,, perPeriod]) => perPeriod === 0).forEach(([rank]) => arrivals.delete(rank));
    return addUrgencies(waiting, rates).filter(([, requests,, perPeriod]) => requests > 0 || perPeriod > 0);
};

/**
 * Adds their ranks to the waiting requests of a status, the waiting requests and arrivals of plain services, and the arrivals of contended
 * models. Services whose
 * requests don't differ in rank are left as they are.
 */
export const describeUrgencies = (context: GatewayContext, waiting: InstanceStatus["waiting"]): InstanceStatus["waiting"] => {
    const services = listRankedServices(context);
    if (services.size === 0) {
        return waiting;
    }
    const rows = waiting.map(row => {
        const pool = context.pools.get(`${row.service}/${row.model}`);
        return services.has(row.service) && pool !== undefined ? { ...row, urgencies: listUrgencies(context, pool) } : row;
    });
    for (const pool of context.pools.values()) {
        const isReported = pool.model === undefined || (pool.waiting.length === 0 && isContended(context, pool.key));
        const urgencies = isReported && services.has(pool.service) ? listUrgencies(context, pool) : [];
        if (urgencies.length > 0) {
            rows.push({ service: pool.service, model: pool.model ?? "", requests: pool.waiting.length, urgencies });
        }
    }
    return rows;
};
