import type { Fingerprint } from "./fingerprint.js";
import type { KeyDigest } from "./keyDigest.js";
import type { ParsedCallHeaders } from "./parsedCallHeaders.js";
import type { RequestId } from "./requestId.js";
import type { Route } from "./route.js";
import type { Workspace } from "./workspace.js";

/** What the decisions know of a caller's request on a route. They don't get its body. */
export interface CallMetadata extends Omit<ParsedCallHeaders, "callerIdentity" | "deadlineMs" | "lastEventId" | "resumedRequestId"> {
    /** Identifies the request within this instance, because callers' own ids may repeat. */
    callId: RequestId;
    fingerprint: Fingerprint;
    route: Route;
    service: string;
    /** Workspace of the caller, as of the arrival; undefined without workspaces, and for public requests without a valid key. */
    workspace?: Workspace | undefined;
    /** Digest of the key by which the workspace was found. */
    keyDigest?: KeyDigest | undefined;
    arrivedAtMs: number;
    /**
     * Stream that the caller takes up: the id of the caller's attempt that brought its first event, if the caller names it. It is
     * missing if the caller begins anew.
     */
    resumedStream?: { requestId: string | undefined } | undefined;
    /** Time up to which an answer counts as in time. */
    latencyTargetAtMs: number;
    /** Time at which the caller leaves unless an answer has begun. */
    firstEventDeadlineAtMs: number;
    /** Time at which the deadline of the caller or of the route passes, whichever is earlier. */
    deadlineAtMs: number;
}
