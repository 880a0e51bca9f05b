import type { z } from "zod";
import type { modelVersionSchema } from "./modelVersionSchema.js";

/** Spec of a model version after validation, with defaults applied. */
export type ModelVersionSpec = z.infer<typeof modelVersionSchema>;
