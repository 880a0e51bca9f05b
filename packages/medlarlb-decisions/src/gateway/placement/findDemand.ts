import type { GatewayContext } from "../gatewayContext.js";
import { demandPeriodsMs } from "./demandPeriodsMs.js";
import type { DemandTable } from "./demandTable.js";

type DemandRow = DemandTable extends Map<string, infer Row> ? Row : never;

/** Returns the demand for a model with its averages decayed to the present time. A model without a row gets an empty one. */
export const findDemand = (context: GatewayContext, service: string, model: string): DemandRow => {
    const key = `${service}/${model}`;
    let row = context.demand.get(key);
    if (row === undefined) {
        row = {
            service,
            model,
            fastTokens: 0,
            slowTokens: 0,
            fastRequests: 0,
            slowRequests: 0,
            zoneRequests: 0,
            updatedAtMs: context.nowMs,
            waiting: new Map(),
        };
        context.demand.set(key, row);
    }
    const ageMs = context.nowMs - row.updatedAtMs;
    if (ageMs > 0) {
        const fastDecay = Math.exp(-ageMs / demandPeriodsMs.fast);
        const slowDecay = Math.exp(-ageMs / demandPeriodsMs.slow);
        row.fastTokens *= fastDecay;
        row.fastRequests *= fastDecay;
        row.slowTokens *= slowDecay;
        row.slowRequests *= slowDecay;
        row.zoneRequests *= slowDecay;
        row.updatedAtMs = context.nowMs;
    }
    return row;
};
