import type { InstanceId } from "medlarlb-types/instanceId";
import type { GatewayContext } from "../gatewayContext.js";

/** Lists the other instances of this zone that respond. */
export const listZoneMembers = (context: GatewayContext): InstanceId[] =>
    context.members.filter(member => member.zone === context.settings.zone).map(member => member.id);
