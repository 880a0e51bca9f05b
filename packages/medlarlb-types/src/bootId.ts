import type { Brand } from "./brand.js";

/** Names one run of a process. It changes at each start. */
export type BootId = Brand<string, "BootId">;
