import { isZoneUnreachable } from "../calls/isZoneUnreachable.js";
import { logEvent } from "../calls/logEvent.js";
import type { GatewayContext } from "../gatewayContext.js";
import { nextEngineCheckMs } from "./nextEngineCheckMs.js";
import { requestEngineReports } from "./requestEngineReports.js";
import { planAdapters } from "./planAdapters.js";
import { planModels } from "./planModels.js";
import { completeExpectedLoads } from "./completeExpectedLoads.js";
import { syncManagedEngines } from "./syncManagedEngines.js";

/** Interval in ms at which the placement of models is planned. */
const PLAN_INTERVAL_MS = 100;

const updateUnreachableZones = (context: GatewayContext): void => {
    const zones = new Set([...context.targets.values()].map(target => target.entry.zone));
    const unreachable = new Set([...zones].filter(zone => isZoneUnreachable(context, zone)));
    for (const zone of zones) {
        if (unreachable.has(zone) !== context.unreachableZones.has(zone)) {
            logEvent(context, "zoneReach", { zone, cut: unreachable.has(zone) });
        }
    }
    context.unreachableZones = unreachable;
};

/** Sends the engines of this zone their next orders, if this instance holds the planner lease. */
export const planPlacement = (context: GatewayContext): void => {
    const isDue = context.placementChanged || context.nowMs >= context.nextPlacementCheckMs;
    context.placementChanged = false;
    if (context.fence === undefined || context.config === undefined || !isDue) {
        return;
    }
    syncManagedEngines(context);
    completeExpectedLoads(context);
    for (const managed of context.managedEngines.values()) {
        const service = context.targets.get(managed.targetId)?.entry.service ?? "";
        const profile = context.config.services.get(service)?.engine;
        if (profile !== undefined && context.targets.get(managed.targetId)?.leaving === false) {
            planAdapters(context, managed, profile);
        }
    }
    if (context.nowMs >= context.nextPlanMs) {
        context.nextPlanMs = context.nowMs + PLAN_INTERVAL_MS;
        updateUnreachableZones(context);
        for (const [service, { engine }] of context.config.services) {
            if (engine !== undefined && engine.models.size > 0) {
                planModels(context, service, engine);
            }
        }
    }
    requestEngineReports(context);
    context.nextPlacementCheckMs = context.nextPlanMs;
    for (const managed of context.managedEngines.values()) {
        context.nextPlacementCheckMs = Math.min(context.nextPlacementCheckMs, nextEngineCheckMs(managed, context.nowMs));
    }
};
