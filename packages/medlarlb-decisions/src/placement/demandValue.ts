import type { ItemId } from "medlarlb-types/itemId";
import type { World } from "../world.js";

/** Worth of a replica to callers of the zone, in requests a second. */
export const demandValue = (world: World, itemId: ItemId): number => {
    const row = world.demand.get(itemId);
    return row === undefined ? 0 : Math.max(row.fastRate, row.slowRate) + row.unmetRate;
};
