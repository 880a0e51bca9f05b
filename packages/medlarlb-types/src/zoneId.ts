import type { Brand } from "./brand.js";

/** Identifies an availability zone. */
export type ZoneId = Brand<string, "ZoneId">;
