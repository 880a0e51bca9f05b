import type { PoolTarget } from "../rows/poolTarget.js";
import type { GatewayWorld } from "../gatewayWorld.js";

/**
 * Lists the engines of a service that hold a model or are loading it, aren't leaving or unloading it, and can be reached
 * from here.
 */
export const listReplicas = (world: GatewayWorld, service: string, model: string): PoolTarget[] =>
    (world.targetsByService.get(service) ?? []).filter(target =>
        !target.leaving && !target.closing.has(model) && (target.models.has(model) || target.opening.has(model))
        && !world.cutZones.has(target.entry.zone));
