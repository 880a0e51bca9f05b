import type { z } from "zod";
import type { modelSchema } from "./modelSchema.js";

/** Checked spec of a resource, with defaults filled in. */
export type ModelSpec = z.infer<typeof modelSchema>;
