import type { GatewayContext } from "../gatewayContext.js";
import { findDemand } from "./findDemand.js";

interface ModelLoad {
    /** Requests a second, and those that wait now. */
    requests: number;
    zoneRequests: number;
    waiting: number;
    /** Engines that the model would keep busy all the time. */
    engines: number;
}

/** Age in ms from which what was told of waiting requests no longer counts. */
const WAITING_MS = 1_000;
const MS_PER_SECOND = 1_000;
/** Part of the slow average that counts when the fast one is lower, so that a lull doesn't empty the plan. */
const SLOW_PART = 0.7;
const DEFAULT_MS_PER_TOKEN = 0.055;

/** Tells how much work a model brings now. */
export const modelWorkload = (context: GatewayContext, service: string, model: string): ModelLoad => {
    const row = findDemand(context, service, model);
    let waiting = 0;
    for (const each of row.waiting.values()) {
        waiting += context.nowMs - each.atMs < WAITING_MS ? each.requests : 0;
    }
    const tokens = Math.max(row.fastTokens, row.slowTokens * SLOW_PART);
    const msPerToken = context.serviceMsPerWorkUnit.get(service) ?? DEFAULT_MS_PER_TOKEN;
    return {
        requests: Math.max(row.fastRequests, row.slowRequests * SLOW_PART),
        zoneRequests: row.zoneRequests,
        waiting,
        engines: tokens * msPerToken / MS_PER_SECOND,
    };
};
