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
export const askForModel = (world: GatewayContext, row: CallRow, targetId: TargetId | undefined): void => {
    const { service, model, adapter } = row.metadata;
    const isAsked = row.askedTargetId === targetId && world.nowMs - row.askedAtMs < ASK_AGAIN_MS;
    if (model === undefined || isAsked) {
        return;
    }
    row.askedAtMs = world.nowMs;
    row.askedTargetId = targetId;
    const targetZone = targetId === undefined ? undefined : world.targets.get(targetId)?.entry.zone;
    const zones = targetZone === undefined ? listHomeZones(world, service, model) : [targetZone];
    const wanted = zones.filter(zone => canPlan(world, zone));
    const skipped = Math.floor((world.nowMs - row.metadata.arrivedAtMs) / NEXT_ZONE_MS);
    const zone = wanted[Math.min(skipped, wanted.length - 1)];
    const planner = zone === undefined ? undefined : world.planners.get(zone);
    if (planner === undefined) {
        return;
    }
    if (planner === world.settings.instanceId) {
        wantModel(world, service, model, adapter, targetId);
        return;
    }
    world.commands.push({ kind: "want", to: planner, service, model, adapter, targetId });
};
