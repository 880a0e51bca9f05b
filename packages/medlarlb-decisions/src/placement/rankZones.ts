import murmurHash from "imurmurhash";
import type { ItemRow } from "../rows/itemRow.js";
import type { DecisionContext } from "../decisionContext.js";

const HASH_RANGE = 2 ** 32;

const computeZoneRanks = (context: DecisionContext, item: ItemRow): string[] => {
    const bytesByZone = new Map<string, number>();
    for (const target of context.targets.values()) {
        const isZoneAllowed = item.zones.length === 0 || item.zones.includes(target.spec.zone);
        if (target.spec.kind === "engine" && isZoneAllowed) {
            bytesByZone.set(target.spec.zone, (bytesByZone.get(target.spec.zone) ?? 0) + target.spec.memoryBytes);
        }
    }
    // An adapter gets the ranks of its model, because it needs a replica of the model on the same target.
    const key = item.baseModel ?? item.name;
    const scored = [...bytesByZone].map(([zone, bytes]) => {
        const uniformHash = (murmurHash(`${key}/${zone}`, 0).result() + 1) / (HASH_RANGE + 1);
        return { zone, score: -bytes / Math.log(uniformHash) };
    });
    return scored.sort((a, b) => b.score - a.score).map(each => each.zone);
};

/**
 * Ranks the zones for the minimum replicas of an item by weighted rendezvous hashing. Each zone gets a share of the items
 * in proportion to its memory, and all instances agree without messages. Ranks are cached until the configuration changes.
 */
export const rankZones = (context: DecisionContext, item: ItemRow): string[] => {
    const cachedRanks = context.zoneRanks.get(item.itemId);
    if (cachedRanks !== undefined) {
        return cachedRanks;
    }
    const ranks = computeZoneRanks(context, item);
    context.zoneRanks.set(item.itemId, ranks);
    return ranks;
};
