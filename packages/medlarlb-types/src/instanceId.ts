import type { Brand } from "./brand.js";

/** Identifies one daemon instance, with its id in the platform's instance list. */
export type InstanceId = Brand<string, "InstanceId">;
