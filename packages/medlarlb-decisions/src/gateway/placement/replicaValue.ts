import type { modelWorkload } from "./modelWorkload.js";

/** Share of an engine that a model may use on each of its replicas before another replica is worth its cost. */
const FULL_REPLICA_UTILIZATION_RATIO = 0.4;
/** Value of serving a request in its own zone, relative to serving it at all. */
const OWN_ZONE_VALUE_RATIO = 0.05;
/** Value of the last replica of a model that nobody requests now, in requests per second. */
const IDLE_REPLICA_VALUE = 0.01;

/** Value of answering a request that already waits, in requests per second, in addition to those that arrive. */
const WAITING_REQUEST_VALUE = 3;

const overloadRatio = (busyEngines: number, replicas: number): number =>
    Math.max(0, Math.min(1, (busyEngines / replicas - FULL_REPLICA_UTILIZATION_RATIO) / FULL_REPLICA_UTILIZATION_RATIO));

/**
 * Returns the value of one more replica of a model beside `replicas` others, `replicasInZone` of them in the planner's
 * zone: the requests per second that it serves better.
 */
export const replicaValue = (workload: ReturnType<typeof modelWorkload>, replicas: number, replicasInZone: number): number => {
    const ownZoneValue = replicasInZone === 0 ? OWN_ZONE_VALUE_RATIO * workload.zoneRequests : 0;
    if (replicas <= 0) {
        return IDLE_REPLICA_VALUE + workload.requests + workload.waiting * WAITING_REQUEST_VALUE + ownZoneValue;
    }
    return workload.requests * overloadRatio(workload.busyEngines, replicas) + ownZoneValue;
};
