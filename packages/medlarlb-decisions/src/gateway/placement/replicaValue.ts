import type { modelWorkload } from "./modelWorkload.js";

/** Share of an engine that a model may use on each of its replicas before another one pays. */
const FULL_SHARE = 0.4;
/** Worth of serving a request in its own zone, as a share of serving it at all. */
const OWN_ZONE_SHARE = 0.05;
/** Worth of a model's last replica that nobody asks for now, in requests a second. */
const IDLE_VALUE = 0.01;

/** Worth of answering a request that waits already, beside the requests a second that come. */
const WAITING_VALUE = 3;

const overload = (engines: number, replicas: number): number =>
    Math.max(0, Math.min(1, (engines / replicas - FULL_SHARE) / FULL_SHARE));

/**
 * Worth of one more replica of a model beside `replicas` others, `inZone` of them in the planner's zone, in requests a
 * second that are served better.
 */
export const replicaValue = (load: ReturnType<typeof modelWorkload>, replicas: number, inZone: number): number => {
    const own = inZone === 0 ? OWN_ZONE_SHARE * load.zoneRequests : 0;
    if (replicas === 0) {
        return IDLE_VALUE + load.requests + load.waiting * WAITING_VALUE + own;
    }
    return load.requests * overload(load.engines, replicas) + own;
};
