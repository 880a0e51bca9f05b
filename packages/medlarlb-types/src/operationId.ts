import type { Brand } from "./brand.js";

/** Names one write to the KV service, so that a write with a lost answer can be found again. */
export type OperationId = Brand<string, "OperationId">;
