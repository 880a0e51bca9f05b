import type { ZoneId } from "medlarlb-types/zoneId";
import { hashText } from "../../hashText.js";
import type { GatewayContext } from "../gatewayContext.js";

/**
 * Ranks the zones that have engines of a service by their suitability for a rarely requested model. Zones with an engine
 * that has the weights in its memory or on its disk come first: a load from there is faster and costs the weight store
 * nothing. Every instance computes the same order without exchanging messages. Among equal zones, a zone ranks first for
 * a share of the models that follows its number of engines.
 */
export const rankZonesForModel = (context: GatewayContext, service: string, model: string): ZoneId[] => {
    const engineCounts = new Map<ZoneId, number>();
    // 2 for a zone with an engine that has the weights in memory, 1 for one with the weights on disk, otherwise 0.
    const storageLevels = new Map<ZoneId, number>();
    for (const target of context.targetsByService.get(service) ?? []) {
        const { zone, inMemory, onDisk } = target.entry;
        if (!target.leaving) {
            engineCounts.set(zone, (engineCounts.get(zone) ?? 0) + 1);
            const diskLevel = onDisk.includes(model) ? 1 : 0;
            storageLevels.set(zone, Math.max(storageLevels.get(zone) ?? 0, inMemory.includes(model) ? 2 : diskLevel));
        }
    }
    // Weighted rendezvous hashing: the zone with the lowest rank, a hashed draw divided by the zone's weight, comes first.
    const rendezvousRank = (zone: ZoneId, weight: number): number => -Math.log(hashText(`${model}/${zone}`)) / weight;
    return [...engineCounts].map(([zone, weight]) => ({ zone, rank: rendezvousRank(zone, weight) }))
        .sort((one, other) => (storageLevels.get(other.zone) ?? 0) - (storageLevels.get(one.zone) ?? 0) || one.rank - other.rank)
        .map(each => each.zone);
};
