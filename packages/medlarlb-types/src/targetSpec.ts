import type { z } from "zod";
import type { targetSchema } from "./targetSchema.js";

/** Checked spec of a resource, with defaults filled in. */
export type TargetSpec = z.infer<typeof targetSchema>;
