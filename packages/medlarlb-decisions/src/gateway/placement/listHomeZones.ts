import type { ZoneId } from "medlarlb-types/zoneId";
import { hashText } from "../../hashText.js";
import type { GatewayWorld } from "../gatewayWorld.js";

/**
 * Lists the zones that hold engines of a service, in the order in which they are to hold a model that few ask for.
 * Every instance computes the same order without a message; the share of a zone follows its number of engines.
 */
export const listHomeZones = (world: GatewayWorld, service: string, model: string): ZoneId[] => {
    const engines = new Map<ZoneId, number>();
    for (const target of world.targetsByService.get(service) ?? []) {
        if (!target.leaving) {
            engines.set(target.entry.zone, (engines.get(target.entry.zone) ?? 0) + 1);
        }
    }
    // Weighted rendezvous hashing: the zone whose draw over its weight is the least comes first.
    const draw = (zone: ZoneId, weight: number): number => -Math.log(hashText(`${model}/${zone}`)) / weight;
    return [...engines].map(([zone, weight]) => ({ zone, rank: draw(zone, weight) }))
        .sort((one, other) => one.rank - other.rank)
        .map(each => each.zone);
};
