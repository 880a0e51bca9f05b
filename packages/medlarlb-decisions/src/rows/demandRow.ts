import type { ItemId } from "medlarlb-types/itemId";

/** Demand for one item in the planner's zone, in requests a second. */
export interface DemandRow {
    itemId: ItemId;
    fastRate: number;
    slowRate: number;
    /** Rate of requests that found no free replica. */
    unmetRate: number;
    updatedAtMs: number;
}
