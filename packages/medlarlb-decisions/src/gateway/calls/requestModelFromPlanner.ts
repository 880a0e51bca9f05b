import type { TargetId } from "medlarlb-types/targetId";
import type { CallRow } from "../rows/callRow.js";
import type { GatewayContext } from "../gatewayContext.js";
import { rankZonesForModel } from "../placement/rankZonesForModel.js";
import { applyModelRequest } from "../placement/applyModelRequest.js";
import { hasActivePlanner } from "./hasActivePlanner.js";

/** Interval in ms at which the request for a model that isn't available yet is repeated. */
const REPEAT_INTERVAL_MS = 250;
/** Time in ms for which a call asks the planner of one zone before it turns to that of the next zone. */
const NEXT_ZONE_DELAY_MS = 800;

/** Requests the model or adapter that a call waits for from the planner of a zone, on a certain engine if one is named. */
export const requestModelFromPlanner = (context: GatewayContext, row: CallRow, targetId: TargetId | undefined): void => {
    const { service, model } = row.metadata;
    // An engine loads an adapter only beside its model.
    const isHeld = targetId === undefined || context.targets.get(targetId)?.models.has(model ?? "") === true;
    const adapter = isHeld ? row.metadata.adapter : undefined;
    const isRecentlyRequested = row.adapterTargetId === targetId && context.nowMs - row.modelRequestedAtMs < REPEAT_INTERVAL_MS;
    if (model === undefined || isRecentlyRequested) {
        return;
    }
    row.modelRequestedAtMs = context.nowMs;
    row.adapterTargetId = targetId;
    const targetZone = targetId === undefined ? undefined : context.targets.get(targetId)?.entry.zone;
    const zones = targetZone === undefined ? rankZonesForModel(context, service, model) : [targetZone];
    const plannedZones = zones.filter(zone => hasActivePlanner(context, zone));
    const skippedZones = Math.floor((context.nowMs - row.metadata.arrivedAtMs) / NEXT_ZONE_DELAY_MS);
    const zone = plannedZones[Math.min(skippedZones, plannedZones.length - 1)];
    const planner = zone === undefined ? undefined : context.planners.get(zone);
    if (planner === undefined) {
        return;
    }
    if (planner === context.settings.instanceId) {
        applyModelRequest(context, service, model, adapter, targetId);
        return;
    }
    context.commands.push({ kind: "want", to: planner, service, model, adapter, targetId });
};
