import type { TargetId } from "medlarlb-types/targetId";
import type { GatewayContext } from "../gatewayContext.js";
import { findDemand } from "./findDemand.js";

/** Records that callers wait for a model, on a certain engine if one is named, or for an adapter on an engine that holds its model. */
export const applyModelRequest = (
    context: GatewayContext,
    service: string,
    model: string,
    adapter: string | undefined,
    targetId: TargetId | undefined,
): void => {
    if (targetId === undefined) {
        const row = findDemand(context, service, model);
        const reportedRequests = row.waiting.get(context.settings.instanceId)?.requests ?? 0;
        row.waiting.set(context.settings.instanceId, { requests: Math.max(1, reportedRequests), atMs: context.nowMs });
        context.nextPlanMs = context.nowMs;
        context.placementChanged = true;
        return;
    }
    const managed = context.managedEngines.get(targetId);
    if (managed !== undefined && adapter === undefined) {
        managed.requestedModel = { model, atMs: context.nowMs };
        context.nextPlanMs = context.nowMs;
        context.placementChanged = true;
        return;
    }
    const isRequested = managed?.requestedAdapters.some(each => each.model === model && each.adapter === adapter);
    if (managed !== undefined && adapter !== undefined && isRequested === false) {
        managed.requestedAdapters.push({ model, adapter });
        context.placementChanged = true;
    }
};
