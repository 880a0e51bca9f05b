import type { Brand } from "./brand.js";

/** Identifies one process of an instance or target. It changes at each start. */
export type BootId = Brand<string, "BootId">;
