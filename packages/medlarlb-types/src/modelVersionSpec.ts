import type { z } from "zod";
import type { modelVersionSchema } from "./modelVersionSchema.js";

/** Checked spec of a resource, with defaults filled in. */
export type ModelVersionSpec = z.infer<typeof modelVersionSchema>;
