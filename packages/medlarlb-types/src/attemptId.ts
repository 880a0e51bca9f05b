import type { Brand } from "./brand.js";

/** Identifies one attempt to run a request on a target. */
export type AttemptId = Brand<string, "AttemptId">;
