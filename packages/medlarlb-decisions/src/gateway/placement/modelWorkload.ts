import type { GatewayContext } from "../gatewayContext.js";
import { findDemand } from "./findDemand.js";

interface ModelWorkload {
    /** Requests a second, and those that wait now. */
    requests: number;
    zoneRequests: number;
    waiting: number;
    /** Engines that the model would keep busy all the time. */
    busyEngines: number;
}

/** Age in ms from which what was told of waiting requests no longer counts. */
const MAX_WAITING_AGE_MS = 1_000;
const MS_PER_SECOND = 1_000;
/** Part of the slow average that counts when the fast one is lower, so that a lull doesn't empty the plan. */
const SLOW_AVERAGE_RATIO = 0.7;
const DEFAULT_MS_PER_TOKEN = 0.055;

/** Tells how much work a model brings now. */
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
