import type { Resource } from "medlarlb-types/resource";
import type { MemberInfo } from "medlarlb-peers/memberInfo";
import type { MemberState } from "medlarlb-peers/memberState";

const toResource = (member: MemberInfo, state: string): Resource => ({
    kind: "instances",
    name: member.id,
    resourceVersion: String(member.incarnation),
    spec: { zone: member.zone, address: member.address, operatorAddress: member.operatorAddress, bootId: member.bootId },
    status: { state: member.leaving ? "leaving" : state },
});

/** Returns all instances as resources, with the state that this instance knows of each. */
export const showInstances = (members: readonly MemberState[], alive: readonly MemberInfo[]): Resource[] => {
    const self = alive[0];
    const others = members.map(member => toResource(member.info, member.state));
    return self === undefined ? others : [toResource(self, "alive"), ...others];
};
