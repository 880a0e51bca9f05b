import type { PromptPart } from "./promptPart.js";
import type { RequestId } from "./requestId.js";
import type { Route } from "./route.js";

/** What the decisions know of a caller's request on a route. Its body stays at the edge. */
export interface CallFacts {
    /** Names the request inside this instance. Callers' own ids may repeat. */
    callId: RequestId;
    /** Id that the caller sent, for the log. */
    callerRequestId: string;
    route: Route;
    service: string;
    model: string | undefined;
    adapter: string | undefined;
    promptTokens: number;
    /** Most tokens of the answer. */
    outputTokens: number;
    /** Expected tokens of the answer. */
    expectedTokens: number;
    promptParts: PromptPart[];
    arrivedAtMs: number;
    /** Time up to which an answer is in time. */
    targetAtMs: number;
    /** Time at which the caller leaves unless an answer has begun. */
    startByMs: number;
    /** Time at which the caller or the route gives up. */
    deadlineAtMs: number;
    /** Digest of what the caller sent, equal for equal requests. */
    fingerprint: string;
}
