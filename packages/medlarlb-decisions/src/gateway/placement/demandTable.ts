import type { InstanceId } from "medlarlb-types/instanceId";

/** Demand for one model of a service, as moving averages over a short and a long time. */
interface DemandRow {
    service: string;
    model: string;
    /** Prompt tokens per second. */
    fastTokens: number;
    slowTokens: number;
    /** Requests per second: `fastRequests` and `slowRequests` from all zones, `zoneRequests` (a slow average) from this one. */
    fastRequests: number;
    slowRequests: number;
    zoneRequests: number;
    updatedAtMs: number;
    /** Waiting requests, by the instance that reported them. */
    waiting: Map<InstanceId, { requests: number; atMs: number }>;
}

/** Demand by service and model. */
export type DemandTable = Map<string, DemandRow>;
