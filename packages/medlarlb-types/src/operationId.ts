import type { Brand } from "./brand.js";

/** Identifies one write to the KV service, so that its outcome can be read back after a lost response. */
export type OperationId = Brand<string, "OperationId">;
