import type { PlacementUpdate } from "medlarlb-types/placementUpdate";
import type { GatewayContext } from "../gatewayContext.js";
import { isLargeGroup } from "../status/isLargeGroup.js";
import { listZoneMembers } from "../status/listZoneMembers.js";

/** Passes news of another zone's engine on to the instances of this zone, if this one is their planner in a large group. */
export const relayPlacementUpdate = (world: GatewayContext, news: PlacementUpdate): void => {
    const target = world.targets.get(news.targetId);
    if (world.fence === undefined || !isLargeGroup(world) || target === undefined || target.entry.zone === world.settings.zone) {
        return;
    }
    world.commands.push({ kind: "shareNews", to: listZoneMembers(world), news });
};
