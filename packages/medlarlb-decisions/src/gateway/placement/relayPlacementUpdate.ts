import type { PlacementUpdate } from "medlarlb-types/placementUpdate";
import type { GatewayContext } from "../gatewayContext.js";
import { isLargeGroup } from "../status/isLargeGroup.js";
import { listZoneMembers } from "../status/listZoneMembers.js";

/** Relays an update of another zone's engine to the instances of this zone, if this one is their planner in a large group. */
export const relayPlacementUpdate = (context: GatewayContext, news: PlacementUpdate): void => {
    const target = context.targets.get(news.targetId);
    if (context.fence === undefined || !isLargeGroup(context) || target === undefined || target.entry.zone === context.settings.zone) {
        return;
    }
    context.commands.push({ kind: "shareNews", to: listZoneMembers(context), news });
};
