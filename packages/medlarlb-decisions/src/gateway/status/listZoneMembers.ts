import type { InstanceId } from "medlarlb-types/instanceId";
import type { GatewayWorld } from "../gatewayWorld.js";

/** Lists the other instances of this zone that answer. */
export const listZoneMembers = (world: GatewayWorld): InstanceId[] =>
    world.members.filter(member => member.zone === world.settings.zone).map(member => member.id);
