import type { Brand } from "./brand.js";

/** Names one request of a caller. */
export type RequestId = Brand<string, "RequestId">;
