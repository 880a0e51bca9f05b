import type { InstanceId } from "./instanceId.js";
import type { Urgency } from "./urgency.js";
import type { WorkspaceUse } from "./workspaceUse.js";
import type { ZoneId } from "./zoneId.js";

/** What the planner of a large zone sends to each instance of the zone in place of all other instances' statuses. */
export interface LoadDigest {
    /** Planner that sends the digest. */
    instanceId: InstanceId;
    /** Zones that the planner counts as reachable, its own included. */
    reachedZones: ZoneId[];
    /** Zones whose planner may send orders, as far as the sending planner knows. */
    planningZones: ZoneId[];
    /** Load on targets by all instances but the receiver: prompt tokens not yet processed, and running requests. */
    loads: { targetId: string; backlogTokens: number; running: number; contextTokens?: number }[];
    /** Requests that wait for a target at all instances but the receiver, as in a status. */
    waiting: { service: string; model: string; requests: number; urgencies?: Urgency[] }[];
    /** Recent use by workspace at all instances but the receiver. It is missing if there are no workspaces, and in most messages. */
    used?: WorkspaceUse[];
}
