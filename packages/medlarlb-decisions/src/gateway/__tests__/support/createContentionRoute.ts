import type { Route } from "medlarlb-types/route";

/** Creates a route to the plain service `app` whose requests are in time within 250 ms. */
export const createContentionRoute = (name: string, priority: number, changes: Partial<Route> = {}): Route => ({
    name,
    host: "h",
    prefix: `/${name}/`,
    kind: "safe",
    timeoutMs: 1_000,
    latencyTargetMs: 250,
    gapTargetMs: undefined,
    priority,
    maxAttempts: 3,
    resumable: false,
    destinations: [{ service: "app", weight: 1 }],
    ...changes,
});
