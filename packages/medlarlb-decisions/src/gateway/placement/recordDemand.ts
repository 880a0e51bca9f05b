import type { GatewayContext } from "../gatewayContext.js";
import type { InstanceStatus } from "medlarlb-types/instanceStatus";
import { demandPeriodsMs } from "./demandPeriodsMs.js";
import { findDemand } from "./findDemand.js";

const MS_PER_SECOND = 1_000;
const FAST_PERIOD_S = demandPeriodsMs.fast / MS_PER_SECOND;
const SLOW_PERIOD_S = demandPeriodsMs.slow / MS_PER_SECOND;

/** Adds the arrivals that an instance reports to the demand, and replaces its waiting requests. */
export const recordDemand = (context: GatewayContext, status: InstanceStatus): void => {
    for (const { service, model, tokens, requests } of status.arrivals) {
        const row = findDemand(context, service, model);
        row.fastTokens += tokens / FAST_PERIOD_S;
        row.slowTokens += tokens / SLOW_PERIOD_S;
        row.fastRequests += requests / FAST_PERIOD_S;
        row.slowRequests += requests / SLOW_PERIOD_S;
        row.zoneRequests += status.zone === context.settings.zone ? requests / SLOW_PERIOD_S : 0;
    }
    for (const row of context.demand.values()) {
        row.waiting.delete(status.instanceId);
    }
    for (const { service, model, requests } of status.waiting.filter(each => each.model !== "")) {
        findDemand(context, service, model).waiting.set(status.instanceId, { requests, atMs: context.nowMs });
    }
};
