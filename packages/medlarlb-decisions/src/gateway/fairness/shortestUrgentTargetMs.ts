import type { GatewayContext } from "../gatewayContext.js";

/** Returns the shortest latency target in ms of routes to a service that are more urgent than a priority. */
export const shortestUrgentTargetMs = ({ config }: GatewayContext, service: string, priority: number): number =>
    Math.min(...(config?.routes ?? [])
        .filter(route => route.priority < priority && route.destinations.some(each => each.service === service))
        .map(route => route.latencyTargetMs));
