import type { InstanceStatus } from "medlarlb-types/instanceStatus";
import { reportZoneUse } from "../fairness/reportZoneUse.js";
import type { GatewayContext } from "../gatewayContext.js";
import { addWaiting } from "./addWaiting.js";

type Load = InstanceStatus["loads"][number];
type Waiting = InstanceStatus["waiting"][number];

const addLoad = (totals: Map<string, Load>, load: Load): void => {
    const row = totals.get(load.targetId) ?? { targetId: load.targetId, backlogTokens: 0, running: 0, runs: {} };
    row.backlogTokens += load.backlogTokens;
    row.running += load.running;
    if (load.contextTokens !== undefined) {
        row.contextTokens = (row.contextTokens ?? 0) + load.contextTokens;
    }
    for (const [model, runs] of Object.entries(load.runs)) {
        row.runs[model] = (row.runs[model] ?? 0) + runs;
    }
    totals.set(load.targetId, row);
};

/** Sums up the statuses of this zone's instances, including this one's, for the planners of the other zones. */
export const sumZoneStatuses = (context: GatewayContext, ownStatus: InstanceStatus, maxAgeMs: number): InstanceStatus => {
    const loads = new Map<string, Load>();
    const waiting = new Map<string, Waiting>();
    const statuses = [ownStatus];
    for (const [id, { status, atMs }] of context.zoneStatuses) {
        if (context.nowMs - atMs < maxAgeMs) {
            statuses.push(status);
        }
        else {
            context.zoneStatuses.delete(id);
        }
    }
    for (const status of statuses) {
        status.loads.forEach(load => addLoad(loads, load));
        status.waiting.forEach(each => addWaiting(waiting, each));
    }
    const arrivals = [...context.zoneArrivals.values()];
    context.zoneArrivals.clear();
    return { ...ownStatus, ofZone: true, arrivals, waiting: [...waiting.values()], loads: [...loads.values()], ...reportZoneUse(context) };
};
