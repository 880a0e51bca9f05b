import type { InstanceId } from "medlarlb-types/instanceId";
import type { ListedInstance } from "medlarlb-types/listedInstance";
import type { TargetId } from "medlarlb-types/targetId";
import type { ZoneId } from "medlarlb-types/zoneId";

/** What the follower of the store tells. */
export interface DirectoryHandlers {
    /** A configuration document as it stands in the store. */
    onConfig: (text: string) => void;
    onTargetEntry: (id: string, text: string) => void;
    onTargetGone: (targetId: TargetId) => void;
    onInstances: (instances: ListedInstance[]) => void;
    onPlanners: (planners: Map<ZoneId, { instance: InstanceId; revision: number }>) => void;
    /** The store began or ceased to answer. */
    onReachabilityChange: (reachable: boolean, reason: string) => void;
}
