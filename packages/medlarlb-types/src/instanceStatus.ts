import type { InstanceId } from "./instanceId.js";
import type { Urgency } from "./urgency.js";
import type { WorkspaceUse } from "./workspaceUse.js";
import type { ZoneId } from "./zoneId.js";

/**
 * What an instance reports to others, several times a second: its callers' requests and the load that it puts on targets.
 * The planner of a large zone sums up the statuses of its zone for the other planners.
 */
export interface InstanceStatus {
    instanceId: InstanceId;
    zone: ZoneId;
    /** Whether this is the sum over the zone, sent by its planner. */
    ofZone: boolean;
    /** Whether this instance may send orders to the engines of its zone now. */
    planning: boolean;
    /** Prompt tokens and requests that arrived since the last status, by service and model. */
    arrivals: { service: string; model: string; tokens: number; requests: number }[];
    /**
     * Requests that wait for a target now. Services whose requests differ in rank have `urgencies` in addition, and rows without a
     * model name for their plain requests.
     */
    waiting: { service: string; model: string; requests: number; urgencies?: Urgency[] }[];
    /**
     * Load of this instance on targets: prompt tokens not yet processed, running requests, and running requests by model.
     * Where an engine's memory may run out, `contextTokens` is the memory that these requests use at most, and `wantsMemory` tells
     * that others wait for more.
     */
    loads: {
        targetId: string;
        backlogTokens: number;
        running: number;
        runs: Record<string, number>;
        contextTokens?: number;
        wantsMemory?: boolean;
    }[];
    /** Ms of accrual of quotas that the sender lends to the receiver, and the number of instances that share the quotas. */
    lent?: { ms: number; sharers: number } | undefined;
    /** Recent use by workspace. It is missing if there are no workspaces, and in most messages. */
    used?: WorkspaceUse[];
}
