import type { InstanceStatus } from "medlarlb-types/instanceStatus";
import type { TargetId } from "medlarlb-types/targetId";
import type { GatewayContext } from "../gatewayContext.js";
import { noteDemand } from "../placement/noteDemand.js";
import { addArrivals } from "../status/addArrivals.js";
import { isLargeGroup } from "../status/isLargeGroup.js";

/** Takes over what another instance told of its callers and of its load on targets, or a planner of its zone's. */
export const applyStatus = (world: GatewayContext, status: InstanceStatus): void => {
    const { instanceId, zone, ofZone } = status;
    for (const target of world.targets.values()) {
        target.peerLoads.delete(instanceId);
        if (ofZone) {
            // The sum holds what was told for the zone before, by its instances or by an earlier planner.
            for (const [teller, load] of target.peerLoads) {
                if (load.zone === zone) {
                    target.peerLoads.delete(teller);
                }
            }
        }
    }
    for (const { targetId, backlogTokens, running, runs } of status.loads) {
        world.targets.get(targetId as TargetId)?.peerLoads.set(instanceId, { zone, backlogTokens, running, runs, atMs: world.nowMs });
    }
    world.zoneHeardMs.set(zone, world.nowMs);
    if (status.planning) {
        world.planningAtMs.set(zone, world.nowMs);
    }
    if (zone === world.settings.zone && !ofZone && isLargeGroup(world)) {
        world.zoneStatuses.set(instanceId, { status, atMs: world.nowMs });
        addArrivals(world.zoneArrivals, status.arrivals);
    }
    noteDemand(world, status);
};
