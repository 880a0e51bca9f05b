import type { ItemId } from "./itemId.js";
import type { OrderId } from "./orderId.js";

/** Bytes that are promised to one item on one target. */
export interface LedgerEntry {
    itemId: ItemId;
    bytes: number;
    state: "loading" | "resident" | "unloading" | "quarantined";
    /** The order that the state waits for. */
    orderId?: OrderId;
    /** When the bytes of a quarantined entry may be judged again, in ms of the owner's clock. */
    quarantinedUntilMs?: number;
}
