import type { InstanceId } from "medlarlb-types/instanceId";
import type { ZoneId } from "medlarlb-types/zoneId";
import type { GatewayInput } from "../../gatewayInput.js";
import type { VirtualServiceInstance } from "./virtualServiceInstance.js";

/** Returns the group as an instance knows it that lists and reaches all others. */
export const describeGroup = (
    instances: readonly VirtualServiceInstance[],
    self: VirtualServiceInstance,
    planners: ReadonlyMap<ZoneId, InstanceId>,
): Extract<GatewayInput, { kind: "instances" }> => {
    const listed = instances.map(each => each.settings.instanceId);
    const members = instances.filter(each => each !== self).map(({ settings }) => ({ id: settings.instanceId, zone: settings.zone }));
    const zoneOrder = instances.filter(each => each.zone === self.zone).map(({ settings }) => settings.instanceId);
    return { kind: "instances", count: instances.length, listed, planners: new Map(planners), members, zoneOrder };
};
