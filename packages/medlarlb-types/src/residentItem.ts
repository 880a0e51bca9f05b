import type { ItemId } from "./itemId.js";

/** One item in a target's memory, as the target's report lists it. */
export interface ResidentItem {
    itemId: ItemId;
    bytes: number;
    state: "loading" | "resident" | "unloading";
}
