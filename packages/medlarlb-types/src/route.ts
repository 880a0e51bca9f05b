import type { RouteKind } from "./routeKind.js";

/** A rule that sends requests of one host and path prefix to services. */
export interface Route {
    name: string;
    host: string;
    /** Path prefix that begins and ends with a slash. The longest prefix that matches a path wins. */
    prefix: string;
    kind: RouteKind;
    /** Longest time in ms that a caller may wait for the final answer. */
    timeoutMs: number;
    /** Longest time in ms until the answer, or the first event of a stream, with which a request counts as in time. */
    latencyTargetMs: number;
    /** Longest pause in ms between events with which a stream counts as in time. */
    gapTargetMs: number | undefined;
    /** Rank of the route's requests; 0 is the most urgent. */
    priority: number;
    /** Largest number of targets that may run one request. */
    maxAttempts: number;
    /** Whether a broken stream may continue at another target. */
    resumable: boolean;
    /** Whether its requests need no key where the configuration has workspaces. */
    public?: boolean | undefined;
    /** Services that share the route's requests, by weight. */
    destinations: { service: string; weight: number }[];
}
