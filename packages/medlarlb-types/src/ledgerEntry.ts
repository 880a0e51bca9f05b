import type { ItemId } from "./itemId.js";
import type { OrderId } from "./orderId.js";

/** Bytes that are promised to one item on one target. */
export interface LedgerEntry {
    itemId: ItemId;
    bytes: number;
    state: "loading" | "resident" | "unloading" | "quarantined";
    /** Order whose outcome changes the state. */
    orderId?: OrderId;
    /** Time in ms of the owner's clock from which a quarantined entry may be reconciled again. */
    quarantinedUntilMs?: number;
}
