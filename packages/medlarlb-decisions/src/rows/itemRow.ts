import type { ItemId } from "medlarlb-types/itemId";

/** A loadable version of a model or adapter that is configured now. */
export interface ItemRow {
    itemId: ItemId;
    kind: "model" | "adapter";
    /** Name of the model or adapter resource. */
    name: string;
    /** Name of the model that an adapter needs on the same target, undefined for a model. */
    baseModel: string | undefined;
    bytes: number;
    minReplicas: number;
    /** Zones that the item's placement allows. Empty allows all. */
    zones: string[];
}
