import type { TargetId } from "medlarlb-types/targetId";
import type { GatewayWorld } from "../gatewayWorld.js";
import { noteDemand } from "../placement/noteDemand.js";
import type { InstanceStatus } from "medlarlb-types/instanceStatus";

/** Takes over what another instance told of its callers and of its load on targets. */
export const applyStatus = (world: GatewayWorld, status: InstanceStatus): void => {
    for (const target of world.targets.values()) {
        target.peerLoads.delete(status.instanceId);
    }
    for (const { targetId, backlogTokens, running, runs } of status.loads) {
        world.targets.get(targetId as TargetId)?.peerLoads.set(status.instanceId, { backlogTokens, running, runs, atMs: world.nowMs });
    }
    world.zoneHeardMs.set(status.zone, world.nowMs);
    if (status.planning) {
        world.planningAtMs.set(status.zone, world.nowMs);
    }
    noteDemand(world, status);
};
