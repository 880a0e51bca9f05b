import type { InstanceId } from "./instanceId.js";
import type { ZoneId } from "./zoneId.js";

/** What the planner of a large zone tells each instance of it in place of all the others' own statuses. */
export interface LoadDigest {
    /** The planner. */
    instanceId: InstanceId;
    /** Zones that the planner hears of, and those of them with a planner that may give orders. */
    reachedZones: ZoneId[];
    planningZones: ZoneId[];
    /** Load on targets by all instances but the one that is told: prompt tokens not yet read, and requests that run. */
    loads: { targetId: string; backlogTokens: number; running: number }[];
    /** Requests that wait for a target at all other instances. */
    waiting: { service: string; model: string; requests: number }[];
}
