import type { modelWorkload } from "./modelWorkload.js";

/** Share of an engine that a model may use on each of its replicas before another one pays. */
const FULL_REPLICA_LOAD_RATIO = 0.4;
/** Worth of serving a request in its own zone, as a share of serving it at all. */
const OWN_ZONE_VALUE_RATIO = 0.05;
/** Worth of a model's last replica that nobody asks for now, in requests a second. */
const IDLE_REPLICA_VALUE = 0.01;

/** Worth of answering a request that waits already, beside the requests a second that come. */
const WAITING_REQUEST_VALUE = 3;

const overloadRatio = (busyEngines: number, replicas: number): number =>
    Math.max(0, Math.min(1, (busyEngines / replicas - FULL_REPLICA_LOAD_RATIO) / FULL_REPLICA_LOAD_RATIO));

/**
 * Worth of one more replica of a model beside `replicas` others, `inZone` of them in the planner's zone, in requests a
 * second that are served better.
 */
export const replicaValue = (workload: ReturnType<typeof modelWorkload>, replicas: number, replicasInZone: number): number => {
    const ownZoneValue = replicasInZone === 0 ? OWN_ZONE_VALUE_RATIO * workload.zoneRequests : 0;
    if (replicas === 0) {
        return IDLE_REPLICA_VALUE + workload.requests + workload.waiting * WAITING_REQUEST_VALUE + ownZoneValue;
    }
    return workload.requests * overloadRatio(workload.busyEngines, replicas) + ownZoneValue;
};
