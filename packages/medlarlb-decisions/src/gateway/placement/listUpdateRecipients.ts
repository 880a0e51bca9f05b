import type { InstanceId } from "medlarlb-types/instanceId";
import type { GatewayContext } from "../gatewayContext.js";
import { isLargeGroup } from "../status/isLargeGroup.js";
import { listZoneMembers } from "../status/listZoneMembers.js";

/**
 * Lists the instances to which a planner sends an update about an engine of its zone: all of them or, in a large group,
 * those of its zone and the other planners, which relay it to their zones. Each other zone is thus sent the update once.
 */
export const listUpdateRecipients = (context: GatewayContext): InstanceId[] => {
    if (!isLargeGroup(context)) {
        return context.members.map(member => member.id);
    }
    return [...new Set([...listZoneMembers(context), ...context.planners.values()])].filter(id => id !== context.settings.instanceId);
};
