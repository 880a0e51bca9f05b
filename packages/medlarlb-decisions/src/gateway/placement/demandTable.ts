import type { InstanceId } from "medlarlb-types/instanceId";

/** Requests for one model of a service, as averages that forget over a short and a long time. */
interface DemandRow {
    service: string;
    model: string;
    /** Prompt tokens a second. */
    fastTokens: number;
    slowTokens: number;
    /** Requests a second, from all zones and from this one. */
    fastRequests: number;
    slowRequests: number;
    zoneRequests: number;
    updatedAtMs: number;
    /** Requests that wait, by the instance that told of them. */
    waiting: Map<InstanceId, { requests: number; atMs: number }>;
}

/** Demand by service and model. */
export type DemandTable = Map<string, DemandRow>;
