import type { TargetId } from "medlarlb-types/targetId";
import type { CallRow } from "../rows/callRow.js";
import type { GatewayContext } from "../gatewayContext.js";
import { rankZonesForModel } from "../placement/rankZonesForModel.js";
import { applyModelRequest } from "../placement/applyModelRequest.js";
import { hasActivePlanner } from "./hasActivePlanner.js";

/** Interval in ms at which a model that doesn't come is asked for again. */
const ASK_AGAIN_MS = 250;
/** Time in ms after which the next zone is asked too. */
const NEXT_ZONE_MS = 800;

/** Asks the planner of a zone for the model or adapter that a call waits for. */
export const requestModelFromPlanner = (context: GatewayContext, row: CallRow, targetId: TargetId | undefined): void => {
    const { service, model, adapter } = row.metadata;
    const isAsked = row.adapterTargetId === targetId && context.nowMs - row.modelRequestedAtMs < ASK_AGAIN_MS;
    if (model === undefined || isAsked) {
        return;
    }
    row.modelRequestedAtMs = context.nowMs;
    row.adapterTargetId = targetId;
    const targetZone = targetId === undefined ? undefined : context.targets.get(targetId)?.entry.zone;
    const zones = targetZone === undefined ? rankZonesForModel(context, service, model) : [targetZone];
    const wanted = zones.filter(zone => hasActivePlanner(context, zone));
    const skipped = Math.floor((context.nowMs - row.metadata.arrivedAtMs) / NEXT_ZONE_MS);
    const zone = wanted[Math.min(skipped, wanted.length - 1)];
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
