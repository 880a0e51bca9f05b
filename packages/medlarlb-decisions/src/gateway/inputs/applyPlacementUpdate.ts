import type { GatewayContext } from "../gatewayContext.js";
import { forgetPrompts } from "../calls/forgetPrompts.js";
import type { PlacementUpdate } from "medlarlb-types/placementUpdate";

/** Takes over what the planner of a zone knows of an engine, if it is newer than what stands here. */
export const applyPlacementUpdate = (context: GatewayContext, state: PlacementUpdate): void => {
    const target = context.targets.get(state.targetId);
    if (state.storeLoadBegun && target?.entry.zone === context.settings.zone) {
        context.storeLoadTimesMs.push(context.nowMs);
    }
    if (target === undefined || target.entry.startedAtMs !== state.startedAtMs || state.orderCount < target.lastUpdateOrderCount) {
        return;
    }
    const held = new Map(state.held.map(each => [each.name, new Set(each.adapters)]));
    for (const name of target.models.keys()) {
        if (!held.has(name)) {
            forgetPrompts(target, name);
        }
    }
    target.lastUpdateOrderCount = state.orderCount;
    target.placementUpdatedAtMs = context.nowMs;
    target.models = held;
    target.opening = new Set(state.opening);
    target.closing = new Set(state.closing);
};
