import { brandAs } from "medlarlb-types/brandAs";
import type { CallMetadata } from "medlarlb-types/callMetadata";
import type { RequestId } from "medlarlb-types/requestId";
import type { Route } from "medlarlb-types/route";

const ROUTE: Route = {
    name: "r",
    host: "h",
    prefix: "/",
    kind: "safe",
    timeoutMs: 1_000,
    latencyTargetMs: 190,
    gapTargetMs: undefined,
    priority: 1,
    maxAttempts: 3,
    resumable: false,
    destinations: [{ service: "app", weight: 1 }],
};

/** Creates a request to the plain service `app`. Its content serves as its fingerprint, and as the last part of its prompt. */
export const createServiceCall = (
    callId: RequestId,
    content: string,
    arrivedAtMs: number,
    route: Partial<Route>,
    sharedParts: readonly string[] = [],
): CallMetadata => {
    const fullRoute = { ...ROUTE, ...route };
    return {
        callId,
        fingerprint: brandAs(content),
        callerRequestId: callId,
        route: fullRoute,
        service: "app",
        model: undefined,
        adapter: undefined,
        promptTokens: 0,
        outputTokens: 0,
        expectedTokens: 0,
        promptParts: (sharedParts.length === 0 ? [] : [...sharedParts, content]).map(id => ({ id, tokens: 10 })),
        arrivedAtMs,
        latencyTargetAtMs: arrivedAtMs + fullRoute.latencyTargetMs,
        firstEventDeadlineAtMs: arrivedAtMs + fullRoute.timeoutMs,
        deadlineAtMs: arrivedAtMs + fullRoute.timeoutMs,
    };
};
