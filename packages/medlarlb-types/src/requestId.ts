import type { Brand } from "./brand.js";

/** Identifies one request of a caller. */
export type RequestId = Brand<string, "RequestId">;
