import type { BootId } from "medlarlb-types/bootId";
import type { InstanceId } from "medlarlb-types/instanceId";
import type { ZoneId } from "medlarlb-types/zoneId";

/** What an instance reports of itself. Only the member itself raises its incarnation, to refute a suspicion or to leave. */
export interface MemberInfo {
    id: InstanceId;
    bootId: BootId;
    zone: ZoneId;
    address: string;
    operatorAddress: string;
    incarnation: number;
    leaving: boolean;
}
