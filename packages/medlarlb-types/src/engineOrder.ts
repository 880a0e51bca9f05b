import type { ItemId } from "./itemId.js";
import type { OrderId } from "./orderId.js";

/** An order to a model engine. A `fence` order only raises the engine's fencing number. */
export interface EngineOrder {
    orderId: OrderId;
    fence: number;
    action: "load" | "unload" | "fence";
    itemId?: ItemId;
    bytes?: number;
}
