import type { InstanceId } from "medlarlb-types/instanceId";
import { hasActivePlanner } from "../calls/hasActivePlanner.js";
import type { GatewayContext } from "../gatewayContext.js";
import type { PoolTarget } from "../rows/poolTarget.js";

type PermitSource = { kind: "planner"; instanceId: InstanceId } | { kind: "ownShare" | "none" };

/** Number of instances that share a target's limit while no planner hands out permits. */
const SHARING_INSTANCE_COUNT = 4;

/**
 * Returns who decides when this instance may send to a limited target: the planner of the target's zone or, while none is
 * active, a few instances of that zone for themselves. The others then don't send to it. Only one instance holds the planner
 * lease, so that permits are handed out once, whatever each instance knows of the group.
 */
export const permitSource = (context: GatewayContext, target: PoolTarget): PermitSource => {
    const { zone } = target.entry;
    const planner = context.planners.get(zone);
    const { instanceId } = context.settings;
    if (planner !== undefined && hasActivePlanner(context, zone)) {
        return { kind: "planner", instanceId: planner };
    }
    const members = [...context.members, { id: instanceId, zone: context.settings.zone }];
    const inZone = members.filter(member => member.zone === zone);
    const sharing = (inZone.length === 0 ? members : inZone).map(member => member.id).sort().slice(0, SHARING_INSTANCE_COUNT);
    return { kind: sharing.includes(instanceId) ? "ownShare" : "none" };
};
