import type { Brand } from "./brand.js";

/** Names an availability zone. */
export type ZoneId = Brand<string, "ZoneId">;
