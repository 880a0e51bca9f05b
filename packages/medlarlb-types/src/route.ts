import type { RouteKind } from "./routeKind.js";

/** A rule that sends requests of one host and path prefix to services. */
export interface Route {
    name: string;
    host: string;
    /** Begins and ends with a slash. The longest prefix that begins a path wins. */
    prefix: string;
    kind: RouteKind;
    /** Longest time in ms that a caller may be kept waiting for the final answer. */
    timeoutMs: number;
    /** Time in ms up to the answer, or the first event of a stream, for which a request counts as in time. */
    latencyTargetMs: number;
    /** Longest pause in ms between events of a stream for which it counts as in time. */
    gapTargetMs: number | undefined;
    /** 0 is the most urgent. */
    priority: number;
    /** Targets that may run one request, at most. */
    maxAttempts: number;
    /** Whether a broken stream may go on at another target. */
    resumable: boolean;
    /** Services that share the route's requests, by weight. */
    destinations: { service: string; weight: number }[];
}
