import type { ItemId } from "medlarlb-types/itemId";

/** A loadable version of a model or adapter that is configured now. */
export interface ItemRow {
    itemId: ItemId;
    kind: "model" | "adapter";
    /** Name of the model or adapter resource. */
    name: string;
    /** For an adapter, the model that its target has to hold as well. */
    baseModel: string | undefined;
    bytes: number;
    minReplicas: number;
    /** Zones that the placement wish allows. Empty allows all. */
    zones: string[];
}
