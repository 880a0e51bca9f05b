import type { Fingerprint } from "./fingerprint.js";
import type { ParsedCallHeaders } from "./parsedCallHeaders.js";
import type { RequestId } from "./requestId.js";
import type { Route } from "./route.js";

/** What the decisions know of a caller's request on a route. They don't get its body. */
export interface CallMetadata extends Omit<ParsedCallHeaders, "callerIdentity" | "deadlineMs" | "lastEventId"> {
    /** Identifies the request within this instance, because callers' own ids may repeat. */
    callId: RequestId;
    fingerprint: Fingerprint;
    route: Route;
    service: string;
    arrivedAtMs: number;
    /** Time up to which an answer counts as in time. */
    latencyTargetAtMs: number;
    /** Time at which the caller leaves unless an answer has begun. */
    firstEventDeadlineAtMs: number;
    /** Time at which the deadline of the caller or of the route passes, whichever is earlier. */
    deadlineAtMs: number;
}
