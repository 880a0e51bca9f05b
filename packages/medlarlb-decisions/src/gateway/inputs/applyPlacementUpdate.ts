import type { GatewayContext } from "../gatewayContext.js";
import { forgetPrompts } from "../calls/forgetPrompts.js";
import type { PlacementUpdate } from "medlarlb-types/placementUpdate";

/** Takes over what the planner of a zone knows of an engine, if it is newer than what stands here. */
export const applyPlacementUpdate = (context: GatewayContext, news: PlacementUpdate): void => {
    const target = context.targets.get(news.targetId);
    if (news.storeLoadBegun && target?.entry.zone === context.settings.zone) {
        context.storeLoadTimesMs.push(context.nowMs);
    }
    if (target === undefined || target.entry.startedAtMs !== news.startedAtMs || news.orderCount < target.lastUpdateOrderCount) {
        return;
    }
    const held = new Map(news.held.map(model => [model.name, new Set(model.adapters)]));
    for (const name of target.models.keys()) {
        if (!held.has(name)) {
            forgetPrompts(target, name);
        }
    }
    target.lastUpdateOrderCount = news.orderCount;
    target.placementUpdatedAtMs = context.nowMs;
    target.models = held;
    target.opening = new Set(news.opening);
    target.closing = new Set(news.closing);
};
