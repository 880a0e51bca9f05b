import type { BootId } from "medlarlb-types/bootId";
import type { InstanceId } from "medlarlb-types/instanceId";
import type { ZoneId } from "medlarlb-types/zoneId";

/** What an instance tells of itself. The member alone raises its incarnation, to refute a suspicion. */
export interface MemberInfo {
    id: InstanceId;
    bootId: BootId;
    zone: ZoneId;
    address: string;
    operatorAddress: string;
    incarnation: number;
    leaving: boolean;
}
