import type { ItemId } from "./itemId.js";

/** Requests for one item at one instance since its previous count. */
export interface DemandCount {
    itemId: ItemId;
    arrivals: number;
    /** Requests that found no free replica on arrival. */
    unmet: number;
}
