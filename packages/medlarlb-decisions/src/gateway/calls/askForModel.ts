import type { TargetId } from "medlarlb-types/targetId";
import type { CallRow } from "../rows/callRow.js";
import type { GatewayContext } from "../gatewayContext.js";
import { listHomeZones } from "../placement/listHomeZones.js";
import { wantModel } from "../placement/wantModel.js";
import { canPlan } from "./canPlan.js";

/** Interval in ms at which a model that doesn't come is asked for again. */
const ASK_AGAIN_MS = 250;
/** Time in ms after which the next zone is asked too. */
const NEXT_ZONE_MS = 800;

/** Asks the planner of a zone for the model or adapter that a call waits for. */
export const askForModel = (context: GatewayContext, row: CallRow, targetId: TargetId | undefined): void => {
    const { service, model, adapter } = row.metadata;
    const isAsked = row.askedTargetId === targetId && context.nowMs - row.askedAtMs < ASK_AGAIN_MS;
    if (model === undefined || isAsked) {
        return;
    }
    row.askedAtMs = context.nowMs;
    row.askedTargetId = targetId;
    const targetZone = targetId === undefined ? undefined : context.targets.get(targetId)?.entry.zone;
    const zones = targetZone === undefined ? listHomeZones(context, service, model) : [targetZone];
    const wanted = zones.filter(zone => canPlan(context, zone));
    const skipped = Math.floor((context.nowMs - row.metadata.arrivedAtMs) / NEXT_ZONE_MS);
    const zone = wanted[Math.min(skipped, wanted.length - 1)];
    const planner = zone === undefined ? undefined : context.planners.get(zone);
    if (planner === undefined) {
        return;
    }
    if (planner === context.settings.instanceId) {
        wantModel(context, service, model, adapter, targetId);
        return;
    }
    context.commands.push({ kind: "want", to: planner, service, model, adapter, targetId });
};
