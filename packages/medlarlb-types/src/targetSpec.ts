import type { z } from "zod";
import type { targetSchema } from "./targetSchema.js";

/** Spec of a target after validation, with defaults applied. */
export type TargetSpec = z.infer<typeof targetSchema>;
