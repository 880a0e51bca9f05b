import type { Brand } from "./brand.js";

/** Identifies a target: a model engine or a plain service. */
export type TargetId = Brand<string, "TargetId">;
