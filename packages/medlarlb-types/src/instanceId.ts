import type { Brand } from "./brand.js";

/** Names one daemon instance, as the platform's list names it. */
export type InstanceId = Brand<string, "InstanceId">;
