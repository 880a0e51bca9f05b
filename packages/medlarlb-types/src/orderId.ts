import type { Brand } from "./brand.js";

/** Names one order to an engine. Engines carry out an id at most once. */
export type OrderId = Brand<string, "OrderId">;
