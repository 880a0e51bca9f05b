import type { GatewayContext } from "../gatewayContext.js";
import { setTargetModels } from "../pools/setTargetModels.js";
import type { PlacementUpdate } from "medlarlb-types/placementUpdate";

/** Applies what the planner of a zone reports of an engine's models, unless a newer update is known. */
export const applyPlacementUpdate = (context: GatewayContext, update: PlacementUpdate): void => {
    const target = context.targets.get(update.targetId);
    if (update.storeLoadBegun && target?.entry.zone === context.settings.zone) {
        context.storeLoadTimesMs.push(context.nowMs);
    }
    if (target === undefined || target.entry.startedAtMs !== update.startedAtMs || update.orderCount < target.lastUpdateOrderCount) {
        return;
    }
    const models = new Map(update.held.map(model => [model.name, new Set(model.adapters)]));
    target.lastUpdateOrderCount = update.orderCount;
    target.placementUpdatedAtMs = context.nowMs;
    target.opening = new Set(update.opening);
    target.closing = new Set(update.closing);
    setTargetModels(context, target, models);
};
