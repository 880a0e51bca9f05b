import type { Brand } from "./brand.js";

/** Identifies one order to an engine. Engines carry out an order with the same id at most once. */
export type OrderId = Brand<string, "OrderId">;
