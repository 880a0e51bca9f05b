import { brandAs } from "medlarlb-types/brandAs";
import type { InstanceId } from "medlarlb-types/instanceId";
import type { ListedInstance } from "medlarlb-types/listedInstance";
import type { ZoneId } from "medlarlb-types/zoneId";
import type { GatewayInput } from "medlarlb-decisions/gateway/gatewayInput";
import type { MemberState } from "medlarlb-peers/memberState";

interface GroupKnowledge {
    instanceId: InstanceId;
    zone: ZoneId;
    /** Instances that the store lists. */
    listed: readonly ListedInstance[];
    /** Other instances that have been heard of, whether they respond or not. */
    members: readonly MemberState[];
    planners: Map<ZoneId, InstanceId>;
}

/** Describes the group of instances for the decisions, from the store's list and from who responds. */
export const describeGroup = ({ instanceId, zone, listed, members: states, planners }: GroupKnowledge): Extract<GatewayInput, { kind: "instances" }> => {
    const dead = new Set(states.filter(member => member.state === "dead").map(member => member.info.id));
    const others = states.filter(member => member.state !== "dead").map(member => member.info);
    // Gossip takes a moment to reach all, so that listed instances count as members until they are known to be gone.
    const known = [...listed.map(each => ({ id: each.id as InstanceId, zone: each.zone, bootId: undefined })), ...others];
    const members = [...new Map(known.filter(each => each.id !== instanceId && !dead.has(each.id))
        .map(each => [each.id, { id: each.id, zone: brandAs<ZoneId>(each.zone), bootId: each.bootId }])).values()];
    // The planner watches the store for its zone and collects its load. The others replace it in the order of their ids.
    const planner = planners.get(zone);
    const inZone = members.filter(member => member.zone === zone).map(member => member.id);
    const followers = [...inZone, instanceId].filter(id => id !== planner).sort();
    return {
        kind: "instances",
        count: Math.max(listed.length, others.length + 1),
        listed: listed.map(each => brandAs<InstanceId>(each.id)),
        planners,
        members,
        zoneOrder: planner === undefined ? followers : [planner, ...followers],
    };
};
