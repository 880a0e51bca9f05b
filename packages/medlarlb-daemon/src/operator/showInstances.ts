import type { Resource } from "medlarlb-types/resource";
import type { MemberInfo } from "medlarlb-peers/memberInfo";
import type { MemberState } from "medlarlb-peers/memberState";

const show = (row: MemberInfo, state: string): Resource => ({
    kind: "instances",
    name: row.id,
    resourceVersion: String(row.incarnation),
    spec: { zone: row.zone, address: row.address, operatorAddress: row.operatorAddress, bootId: row.bootId },
    status: { state: row.leaving ? "leaving" : state },
});

/** Shows the instances as this one sees them. */
export const showInstances = (members: readonly MemberState[], alive: readonly MemberInfo[]): Resource[] => {
    const self = alive[0];
    const others = members.map(member => show(member.info, member.state));
    return self === undefined ? others : [show(self, "alive"), ...others];
};
