import type { ItemId } from "./itemId.js";

/** One item in a target's memory, as its report tells. */
export interface ResidentItem {
    itemId: ItemId;
    bytes: number;
    state: "loading" | "resident" | "unloading";
}
