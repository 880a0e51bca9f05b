import type { ItemId } from "medlarlb-types/itemId";

/** Moving averages of the demand for one item in the planner's zone, in requests a second. */
export interface DemandRow {
    itemId: ItemId;
    fastRate: number;
    slowRate: number;
    /** Rate of requests that had to wait for a replica. */
    unmetRate: number;
    updatedAtMs: number;
}
