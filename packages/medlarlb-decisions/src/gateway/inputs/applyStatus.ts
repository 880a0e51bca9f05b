import type { TargetId } from "medlarlb-types/targetId";
import type { GatewayWorld } from "../gatewayWorld.js";
import { noteDemand } from "../placement/noteDemand.js";
import type { InstanceStatus } from "medlarlb-types/instanceStatus";

/** Takes over what another instance told of its callers and of its load on targets. */
export const applyStatus = (world: GatewayWorld, status: InstanceStatus): void => {
    for (const target of world.targets.values()) {
        target.peerLoads.delete(status.instanceId);
    }
    for (const { targetId, backlogTokens, running } of status.loads) {
        world.targets.get(targetId as TargetId)?.peerLoads.set(status.instanceId, { backlogTokens, running, atMs: world.nowMs });
    }
    if (status.planning) {
        world.planningAtMs.set(status.zone, world.nowMs);
    }
    noteDemand(world, status);
};
