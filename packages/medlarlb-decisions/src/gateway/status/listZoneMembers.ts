import type { InstanceId } from "medlarlb-types/instanceId";
import type { GatewayContext } from "../gatewayContext.js";

/** Lists the other instances of this zone that answer. */
export const listZoneMembers = (world: GatewayContext): InstanceId[] =>
    world.members.filter(member => member.zone === world.settings.zone).map(member => member.id);
