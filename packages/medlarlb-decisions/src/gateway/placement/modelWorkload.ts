import type { GatewayContext } from "../gatewayContext.js";
import { findDemand } from "./findDemand.js";

interface ModelWorkload {
    /** Requests per second: `requests` from all zones, `zoneRequests` from this one. `waiting` counts those that wait now. */
    requests: number;
    zoneRequests: number;
    waiting: number;
    /** Number of engines that the model would keep busy all the time. */
    busyEngines: number;
}

/** Age in ms from which a report of waiting requests no longer counts. */
const MAX_WAITING_AGE_MS = 1_000;
const MS_PER_SECOND = 1_000;
/** Part of the slow average that counts while the fast one is lower, so that models keep their demand through a short lull. */
const SLOW_AVERAGE_RATIO = 0.7;
const DEFAULT_MS_PER_TOKEN = 0.055;

/** Returns the current workload of a model. */
export const modelWorkload = (context: GatewayContext, service: string, model: string): ModelWorkload => {
    const row = findDemand(context, service, model);
    let waiting = 0;
    for (const each of row.waiting.values()) {
        waiting += context.nowMs - each.atMs < MAX_WAITING_AGE_MS ? each.requests : 0;
    }
    const tokens = Math.max(row.fastTokens, row.slowTokens * SLOW_AVERAGE_RATIO);
    const msPerToken = context.serviceMsPerWorkUnit.get(service) ?? DEFAULT_MS_PER_TOKEN;
    return {
        requests: Math.max(row.fastRequests, row.slowRequests * SLOW_AVERAGE_RATIO),
        zoneRequests: row.zoneRequests,
        waiting,
        busyEngines: tokens * msPerToken / MS_PER_SECOND,
    };
};
