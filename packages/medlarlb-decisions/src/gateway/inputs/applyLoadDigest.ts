import type { LoadDigest } from "medlarlb-types/loadDigest";
import type { TargetId } from "medlarlb-types/targetId";
import { findDemand } from "../placement/findDemand.js";
import type { GatewayContext } from "../gatewayContext.js";

/** Takes over what the planner of a large zone knows of the load on all targets and of the zones that it hears of. */
export const applyLoadDigest = (world: GatewayContext, digest: LoadDigest): void => {
    const { instanceId, reachedZones, planningZones, loads } = digest;
    const { zone } = world.settings;
    for (const target of world.targets.values()) {
        target.peerLoads.clear();
    }
    for (const { targetId, backlogTokens, running } of loads) {
        world.targets.get(targetId as TargetId)?.peerLoads.set(instanceId, { zone, backlogTokens, running, runs: {}, atMs: world.nowMs });
    }
    for (const row of world.demand.values()) {
        row.waiting.clear();
    }
    for (const { service, model, requests } of digest.waiting) {
        findDemand(world, service, model).waiting.set(instanceId, { requests, atMs: world.nowMs });
    }
    reachedZones.forEach(each => world.zoneHeardMs.set(each, world.nowMs));
    planningZones.forEach(each => world.planningAtMs.set(each, world.nowMs));
};
