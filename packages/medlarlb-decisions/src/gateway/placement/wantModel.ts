import type { TargetId } from "medlarlb-types/targetId";
import type { GatewayContext } from "../gatewayContext.js";
import { findDemand } from "./findDemand.js";

/** Takes in that callers wait for a model, or for an adapter on an engine that holds its model. */
export const wantModel = (
    world: GatewayContext,
    service: string,
    model: string,
    adapter: string | undefined,
    targetId: TargetId | undefined,
): void => {
    if (targetId === undefined) {
        const row = findDemand(world, service, model);
        const asked = row.waiting.get(world.settings.instanceId)?.requests ?? 0;
        row.waiting.set(world.settings.instanceId, { requests: Math.max(1, asked), atMs: world.nowMs });
        world.nextPlanMs = world.nowMs;
        return;
    }
    const duty = world.managedEngines.get(targetId);
    const known = duty?.wantedAdapters.some(each => each.model === model && each.adapter === adapter);
    if (duty !== undefined && adapter !== undefined && known === false) {
        duty.wantedAdapters.push({ model, adapter });
    }
};
